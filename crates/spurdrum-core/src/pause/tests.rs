//! What counts as a pause, and what a wait for others counts.

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_look_that_comes_late_shows_a_pause_and_the_attentive_clock_leaves_it_out() {
    let mut watch = PauseDetector::default();
    for at in (100..=1000).step_by(100) {
        assert_eq!(watch.observe(ms(at)), None);
    }
    assert_eq!(watch.running_time(ms(1000)), ms(1000));
    assert_eq!(watch.observe(ms(2300)), Some(ms(1300)));
    assert_eq!(watch.running_time(ms(2300)), ms(1000));
    assert_eq!(watch.observe(ms(2350)), None);
    assert_eq!(watch.running_time(ms(2350)), ms(1050));
    assert_eq!(watch.total_pause(), ms(1300));
}

/// Guards against a clock that runs backwards, whatever pauses there are.
#[test]
fn the_attentive_clock_never_runs_backwards_nor_ahead() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut watch = PauseDetector::default();
    let (mut now, mut before) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..10_000 {
        now += ms(random.u64(0..1500));
        watch.observe(now);
        let attentive = watch.running_time(now);
        assert!(attentive >= before && attentive <= now);
        before = attentive;
    }
}

/// Guards against a wait for an answer that ends in the moment in which the process resumes.
#[test]
fn a_wait_does_not_count_a_pause_and_leaves_a_tick_after_it() {
    let mut patience = Patience::new(ms(1500));
    for _ in 0..14 {
        assert_eq!(patience.next_step(), Some(ms(100)));
        patience.waited(ms(100), ms(101));
    }
    assert_eq!(patience.next_step(), Some(ms(86)));
    patience.waited(ms(86), ms(1000));
    assert_eq!(patience.next_step(), Some(ms(100)));
    patience.waited(ms(100), ms(100));
    assert_eq!(patience.next_step(), None);
}

/// Guards against a wait that takes far longer where the process is slow all the time, or stands still over and over.
#[test]
fn a_wait_counts_slowness_and_is_bounded_with_pauses() {
    let mut patience = Patience::new(ms(1000));
    let mut took = Duration::ZERO;
    while let Some(step) = patience.next_step() {
        patience.waited(step, ms(180));
        took += ms(180);
    }
    assert_eq!(took, ms(1080));
    let mut patience = Patience::new(ms(1000));
    let mut steps = 0;
    while let Some(step) = patience.next_step() {
        patience.waited(step, ms(600));
        steps += 1;
    }
    // The last is the tick after the pause in which the bound was reached.
    assert_eq!(steps, 5);
}
