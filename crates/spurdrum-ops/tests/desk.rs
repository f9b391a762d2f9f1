//! Callers of all kinds at the desk, without a clock.

use std::time::Duration;

use proptest::prelude::*;
use spurdrum_ops::{Action, AdminEndpoint, CallerId, Event, Settings};

fn desk(max_callers: usize) -> AdminEndpoint {
    AdminEndpoint::new(Settings { max_callers, ..Settings::default() })
}

fn tell(desk: &mut AdminEndpoint, at_ms: u64, event: Event<'_>) -> Vec<Action> {
    let mut actions = Vec::new();
    desk.handle(Duration::from_millis(at_ms), event, &mut actions);
    actions
}

fn say(text: &[u8]) -> Vec<Action> {
    let (mut desk, id) = (desk(4), CallerId(1));
    tell(&mut desk, 0, Event::Connected(id));
    tell(&mut desk, 0, Event::Received(id, text))
}

fn answer(id: u64, line: &str) -> Action {
    Action::Answer(CallerId(id), line.to_owned())
}

#[test]
fn a_line_is_its_text_without_what_surrounds_it() {
    assert_eq!(say(b"readyz\n"), [answer(1, "readyz")]);
    assert_eq!(say(b" telemetry \r\nmore"), [answer(1, "telemetry")]);
    for wrong in [&b"\n"[..], b"  \r\n", b"\xff\xfe\n"] {
        assert!(matches!(say(wrong)[..], [Action::Reject(..)]), "{wrong:?}");
    }
}

#[test]
fn a_line_without_an_end_is_answered_when_the_caller_has_said_all() {
    let (mut desk, id) = (desk(4), CallerId(1));
    tell(&mut desk, 0, Event::Connected(id));
    assert_eq!(tell(&mut desk, 0, Event::Received(id, b"ready")), []);
    assert_eq!(tell(&mut desk, 1, Event::Received(id, b"z")), []);
    assert_eq!(tell(&mut desk, 2, Event::InputClosed(id)), [answer(1, "readyz")]);
}

#[test]
fn a_line_too_long_is_declined_before_it_ends() {
    let (mut desk, id) = (desk(4), CallerId(1));
    tell(&mut desk, 0, Event::Connected(id));
    assert!(matches!(tell(&mut desk, 0, Event::Received(id, &[b'x'; 257]))[..], [Action::Reject(..)]));
    assert_eq!(desk.waiting_callers(), 0);
}

#[test]
fn silent_callers_make_room_oldest_first_and_are_told_when_their_time_is_up() {
    let mut desk = desk(2);
    for id in 1..=2 {
        assert_eq!(tell(&mut desk, id, Event::Connected(CallerId(id))), []);
    }
    assert_eq!(tell(&mut desk, 3, Event::Connected(CallerId(3))), [Action::Evict(CallerId(1))]);
    assert_eq!(desk.next_wake(), Some(Duration::from_millis(5002)));
    assert!(matches!(tell(&mut desk, 5002, Event::Tick)[..], [Action::Reject(CallerId(2), _)]));
    let got = tell(&mut desk, 5002, Event::Received(CallerId(3), b"telemetry\n"));
    assert_eq!(got, [answer(3, "telemetry")]);
    assert_eq!(desk.next_wake(), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes in whatever pieces: bounds hold, and nobody is answered twice.
    #[test]
    fn bounds_hold_and_each_caller_hears_once(
        events in prop::collection::vec((0_u8..5, 1_u64..12, prop::collection::vec(any::<u8>(), 0..300)), 0..60),
    ) {
        let mut desk = desk(3);
        let (mut heard, mut came) = (std::collections::HashSet::new(), 0);
        for (at, (kind, id, bytes)) in events.iter().enumerate() {
            let event = match kind {
                0 => { came += 1; Event::Connected(CallerId(came)) }
                1 => Event::InputClosed(CallerId(*id)),
                2 => Event::Disconnected(CallerId(*id)),
                3 => Event::Tick,
                _ => Event::Received(CallerId(*id), bytes),
            };
            for action in tell(&mut desk, at as u64 * 500, event) {
                let (Action::Answer(id, _) | Action::Reject(id, _) | Action::Evict(id)) = action;
                prop_assert!(heard.insert(id), "{id:?} heard twice");
            }
            prop_assert!(desk.waiting_callers() <= 3);
        }
    }

    /// A call in any pieces is the same call.
    #[test]
    fn pieces_do_not_matter(cuts in prop::collection::vec(1_usize..10, 0..10)) {
        let (mut desk, id, mut rest) = (desk(1), CallerId(1), &b"telemetry\n"[..]);
        tell(&mut desk, 0, Event::Connected(id));
        let mut got = Vec::new();
        for cut in cuts.into_iter().chain([10]) {
            let (piece, more) = rest.split_at(cut.min(rest.len()));
            got.extend(tell(&mut desk, 0, Event::Received(id, piece)));
            rest = more;
        }
        prop_assert_eq!(got, [Action::Answer(id, "telemetry".to_owned())]);
    }
}
