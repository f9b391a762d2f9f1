//! What counts as a pause, and what a wait for others counts.

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_late_check_indicates_a_pause_and_running_time_leaves_it_out() {
    let mut detector = PauseDetector::default();
    for at in (100..=1000).step_by(100) {
        assert_eq!(detector.observe(ms(at)), None);
    }
    assert_eq!(detector.running_time(ms(1000)), ms(1000));
    assert_eq!(detector.observe(ms(2300)), Some(ms(1300)));
    assert_eq!(detector.running_time(ms(2300)), ms(1000));
    assert_eq!(detector.observe(ms(2350)), None);
    assert_eq!(detector.running_time(ms(2350)), ms(1050));
    assert_eq!(detector.total_pause(), ms(1300));
}

/// Prevents a clock that runs backwards, whatever pauses there are.
#[test]
fn running_time_never_runs_backwards_nor_ahead() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut detector = PauseDetector::default();
    let (mut now, mut previous) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..10_000 {
        now += ms(rng.u64(0..1500));
        detector.observe(now);
        let running = detector.running_time(now);
        assert!(running >= previous && running <= now);
        previous = running;
    }
}

/// Prevents a wait for a response from ending at the very moment the process resumes.
#[test]
fn a_wait_does_not_count_a_pause_and_leaves_a_tick_after_it() {
    let mut wait = RemainingWait::new(ms(1500));
    for _ in 0..14 {
        assert_eq!(wait.next_step(), Some(ms(100)));
        wait.record(ms(100), ms(101));
    }
    assert_eq!(wait.next_step(), Some(ms(86)));
    wait.record(ms(86), ms(1000));
    assert_eq!(wait.next_step(), Some(ms(100)));
    wait.record(ms(100), ms(100));
    assert_eq!(wait.next_step(), None);
}

/// Prevents a wait from taking far longer if the process is slow all the time or is paused again and again.
#[test]
fn a_wait_counts_slowness_and_is_bounded_with_pauses() {
    let mut wait = RemainingWait::new(ms(1000));
    let mut elapsed = Duration::ZERO;
    while let Some(step) = wait.next_step() {
        wait.record(step, ms(180));
        elapsed += ms(180);
    }
    assert_eq!(elapsed, ms(1080));
    let mut wait = RemainingWait::new(ms(1000));
    let mut steps = 0;
    while let Some(step) = wait.next_step() {
        wait.record(step, ms(600));
        steps += 1;
    }
    // The last step is the tick after the pause in which the limit was reached.
    assert_eq!(steps, 5);
}
