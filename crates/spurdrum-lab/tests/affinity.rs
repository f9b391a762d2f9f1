//! Keys in simulated time: the same day gives the same figures, and a preference neither follows a drained server nor makes
//! what its key cannot help with worse.

use spurdrum_lab::affinity::{play, Plan, Played, Trouble, Way};

fn day(trouble: Trouble, way: Way) -> Played {
    let plan = Plan {
        nodes: 3,
        servers: 12,
        keys: 3_000,
        skew: 0.8,
        load: 0.75,
        cold_key: 2.0,
        length: 12_000.0,
        trouble,
        seed: 4,
    };
    play(&plan, way)
}

const KEPT: Way = Way::Kept { slack: 2.0, ring: false };

#[test]
fn the_same_day_gives_the_same_figures() {
    let shown =
        |played: &Played| (played.asked, played.in_aim, played.warm, played.served, played.turned_away);
    let [one, other] = [0, 1].map(|_| day(Trouble::Slow, KEPT));
    assert_eq!(shown(&one), shown(&other));
    assert_eq!(one.served + one.turned_away, one.asked, "each has one final answer");
}

#[test]
fn keys_meet_their_servers_more_often_and_no_answer_is_late_for_it() {
    let (without, kept) = (day(Trouble::None, Way::None), day(Trouble::None, KEPT));
    assert!(kept.warm as f64 / kept.served as f64 > without.warm as f64 / without.served as f64 + 0.05);
    assert!(kept.in_aim >= without.in_aim);
}

#[test]
fn nothing_follows_a_server_that_drains() {
    for way in [KEPT, Way::Kept { slack: 1e9, ring: false }, Way::Kept { slack: 2.0, ring: true }] {
        let played = day(Trouble::Deploy, way);
        assert!(played.served > 5_000 && played.late_to_drained == 0, "{}", played.late_to_drained);
    }
}

#[test]
fn what_was_written_is_worth_something_after_a_restart() {
    let (forgets, knows) = (day(Trouble::Restart, KEPT), day(Trouble::RestartKept, KEPT));
    assert!(knows.warm > forgets.warm, "{} {}", knows.warm, forgets.warm);
}
