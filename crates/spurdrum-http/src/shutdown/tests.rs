use super::*;

const LONGEST_DEADLINE: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn remaining(handover_status: HandoverStatus) -> RemainingWork {
    RemainingWork { handover_status, idle: false, handed_over: false }
}

/// Returns all steps up to `now` of a process that checks as often as it intends to.
fn steps(shutdown: &mut Shutdown, now: Instant, remaining: RemainingWork) -> Vec<Step> {
    let mut steps = Vec::new();
    while shutdown.checked_at < now && !steps.contains(&Step::End) {
        let next_check = shutdown.next_check(shutdown.checked_at).min(now);
        shutdown.check(next_check, remaining, &mut steps);
    }
    if steps.is_empty() {
        shutdown.check(now, remaining, &mut steps);
    }
    steps
}

/// Returns the steps of a process that was paused since its last check.
fn steps_after_pause(shutdown: &mut Shutdown, now: Instant, remaining: RemainingWork) -> Vec<Step> {
    let mut steps = Vec::new();
    shutdown.check(now, remaining, &mut steps);
    steps
}

/// The decision to hand over must not be final at the signal: the confirmation may still be unread in the
/// socket.
#[test]
fn a_confirmation_read_after_the_signal_still_starts_the_handover() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
    assert_eq!(steps(&mut shutdown, start, remaining(HandoverStatus::Offered)), []);
    assert!(shutdown.accepts(), "the process serves as before until then");
    let after = steps(&mut shutdown, start + ms(1), remaining(HandoverStatus::Confirmed));
    assert_eq!(after, [Step::HandOver]);
    assert!(!shutdown.accepts());
    let done = RemainingWork { handover_status: HandoverStatus::Confirmed, idle: true, handed_over: true };
    assert_eq!(steps(&mut shutdown, start + ms(20), done), [Step::End]);
}

#[test]
fn a_late_confirmation_is_honoured_after_the_wait_for_it_has_ended() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
    let offered = remaining(HandoverStatus::Offered);
    assert_eq!(steps(&mut shutdown, start + MAX_CONFIRMATION_WAIT - ms(1), offered), []);
    assert_eq!(steps(&mut shutdown, start + MAX_CONFIRMATION_WAIT, offered), [Step::Close]);
    assert_eq!(steps(&mut shutdown, start + ms(300), offered), []);
    assert!(shutdown.accepts());
    let late = steps(&mut shutdown, start + ms(400), remaining(HandoverStatus::Confirmed));
    assert_eq!(late, [Step::HandOver]);
    assert!(!shutdown.accepts());
}

#[test]
fn if_the_incoming_process_dies_this_one_closes_its_connections() {
    let start = Instant::now();
    for before in [HandoverStatus::Offered, HandoverStatus::Confirmed] {
        let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
        steps(&mut shutdown, start, remaining(before));
        assert_eq!(steps(&mut shutdown, start + ms(50), remaining(HandoverStatus::None)), [Step::Close]);
        assert!(shutdown.accepts());
        let idle = RemainingWork { idle: true, ..remaining(HandoverStatus::None) };
        assert_eq!(steps(&mut shutdown, start + ARRIVAL_PERIOD - ms(1), idle), []);
        assert_eq!(steps(&mut shutdown, start + ARRIVAL_PERIOD, idle), [Step::CloseIdle, Step::End]);
    }
}

#[test]
fn new_connections_delay_the_closing_of_idle_ones() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
    steps(&mut shutdown, start, remaining(HandoverStatus::None));
    shutdown.accepted(start + ms(400));
    let idle = RemainingWork { idle: true, ..remaining(HandoverStatus::None) };
    assert_eq!(steps(&mut shutdown, start + ms(400) + QUIET_PERIOD - ms(1), idle), []);
    assert_eq!(steps(&mut shutdown, start + ms(400) + QUIET_PERIOD, idle), [Step::CloseIdle, Step::End]);
}

/// Without the final notice, a process that hands over would exit and leave pending requests without any
/// response.
#[test]
fn pending_requests_get_a_final_response_before_the_exit() {
    let start = Instant::now();
    for handover_status in [HandoverStatus::None, HandoverStatus::Offered, HandoverStatus::Confirmed] {
        let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
        steps(&mut shutdown, start, remaining(handover_status));
        let end = start + LONGEST_DEADLINE + SHUTDOWN_GRACE;
        let notified = steps(&mut shutdown, end - FINAL_NOTICE_PERIOD, remaining(handover_status));
        assert!(notified.contains(&Step::FinalNotice), "{handover_status:?}: {notified:?}");
        assert!(!notified.contains(&Step::End), "{handover_status:?}: {notified:?}");
        let again = steps(&mut shutdown, end - ms(1), remaining(handover_status));
        assert!(
            !again.contains(&Step::FinalNotice) && !again.contains(&Step::End),
            "{handover_status:?}: {again:?}"
        );
        assert_eq!(steps(&mut shutdown, end, remaining(handover_status)), [Step::End]);
    }
}

/// If the pause counted as waiting time, the process would give up on a confirmation that it has not had time
/// to read.
#[test]
fn a_pause_does_not_count_as_waiting_for_a_confirmation() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
    let offered = remaining(HandoverStatus::Offered);
    assert_eq!(steps(&mut shutdown, start + ms(50), offered), []);
    assert_eq!(steps_after_pause(&mut shutdown, start + ms(1050), offered), []);
    assert_eq!(steps(&mut shutdown, start + ms(1050 + 199), offered), []);
    let after = steps(&mut shutdown, start + ms(1050 + 200), offered);
    assert_eq!(after.first(), Some(&Step::Close));
}

/// If only the first pause were left out, a second one would be mistaken for slowness of the incoming
/// process.
#[test]
fn every_pause_is_left_out_and_not_only_the_first() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
    let offered = remaining(HandoverStatus::Offered);
    let mut now = start;
    for _ in 0..3 {
        now += ms(50);
        assert_eq!(steps(&mut shutdown, now, offered), []);
        now += ms(400);
        assert_eq!(
            steps_after_pause(&mut shutdown, now, offered),
            [],
            "the process still waits for the confirmation"
        );
    }
    assert_eq!(steps(&mut shutdown, now + ms(10), remaining(HandoverStatus::Confirmed)), [Step::HandOver]);
}

/// If a pause counted as quiet time, the process would exit and reset connections that clients opened
/// meanwhile.
#[test]
fn a_pause_does_not_count_as_quiet_period() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
    let idle = RemainingWork { idle: true, ..remaining(HandoverStatus::None) };
    assert_eq!(steps(&mut shutdown, start + ms(50), idle), [Step::Close]);
    assert_eq!(steps_after_pause(&mut shutdown, start + ms(1050), idle), []);
    let quiet = start + ms(1050) - ms(50) + QUIET_PERIOD;
    assert_eq!(steps(&mut shutdown, quiet - ms(1), idle), []);
    assert_eq!(steps(&mut shutdown, quiet, idle), [Step::CloseIdle, Step::End]);
}

/// A process that resumes after its exit time must neither exit without final responses nor before it has
/// read what arrived during the pause.
#[test]
fn a_process_paused_past_its_exit_time_sends_final_responses_before_it_exits() {
    let start = Instant::now();
    let relevant_steps = |shutdown: &mut Shutdown, now, handover_status| {
        let steps = steps(shutdown, now, remaining(handover_status));
        steps.into_iter().filter(|step| *step != Step::CloseIdle).collect::<Vec<_>>()
    };
    for handover_status in [HandoverStatus::None, HandoverStatus::Confirmed] {
        let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
        steps(&mut shutdown, start, remaining(handover_status));
        let resumed = start + LONGEST_DEADLINE + SHUTDOWN_GRACE + ms(500);
        let stop_new_attempts = [Step::StopNewAttempts];
        assert_eq!(steps_after_pause(&mut shutdown, resumed, remaining(handover_status)), stop_new_attempts);
        let end = resumed + MIN_TIME_AFTER_PAUSE;
        assert_eq!(relevant_steps(&mut shutdown, end - FINAL_NOTICE_PERIOD - ms(1), handover_status), []);
        assert_eq!(
            relevant_steps(&mut shutdown, end - FINAL_NOTICE_PERIOD, handover_status),
            [Step::FinalNotice]
        );
        assert_eq!(relevant_steps(&mut shutdown, end - ms(1), handover_status), []);
        assert_eq!(relevant_steps(&mut shutdown, end, handover_status), [Step::End]);
    }
}

/// An attempt that begins right before the final notice cannot be answered in time, while the incoming
/// process has time for the request.
#[test]
fn no_attempt_begins_after_the_longest_deadline_if_another_process_takes_over() {
    let start = Instant::now();
    let stopped_after = |handover_status| {
        let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
        let mut now = start;
        while !steps(&mut shutdown, now, remaining(handover_status)).contains(&Step::StopNewAttempts) {
            assert!(
                now < start + LONGEST_DEADLINE + SHUTDOWN_GRACE,
                "{handover_status:?}: attempts are never stopped"
            );
            now += ms(10);
        }
        now - start
    };
    assert_eq!(stopped_after(HandoverStatus::Confirmed), LONGEST_DEADLINE);
    assert_eq!(
        stopped_after(HandoverStatus::None),
        LONGEST_DEADLINE + SHUTDOWN_GRACE - FINAL_NOTICE_PERIOD,
        "no other process has time for the request"
    );
}

/// Requests must not be refused while the incoming process exists and its confirmation is still unread when
/// this process resumes.
#[test]
fn past_its_exit_time_a_process_waits_for_the_confirmation_before_it_stops_attempts() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
    let offered = remaining(HandoverStatus::Offered);
    assert_eq!(steps(&mut shutdown, start + ms(50), offered), []);
    let resumed = start + LONGEST_DEADLINE + SHUTDOWN_GRACE + ms(500);
    assert_eq!(steps_after_pause(&mut shutdown, resumed, offered), []);
    let after = steps(&mut shutdown, resumed + ms(5), remaining(HandoverStatus::Confirmed));
    assert_eq!(after, [Step::HandOver, Step::StopNewAttempts]);
    let again = steps(&mut shutdown, resumed + ms(15), remaining(HandoverStatus::Confirmed));
    assert_eq!(again, [], "attempts are stopped only once");
}

/// Final responses must not be sent before the input that arrived during a pause has been read, even if the
/// check before the pause was late as well.
#[test]
fn a_pause_past_the_exit_time_counts_even_after_a_late_check() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
    let confirmed = remaining(HandoverStatus::Confirmed);
    assert_eq!(steps(&mut shutdown, start + ms(50), confirmed), [Step::HandOver]);
    assert_eq!(steps_after_pause(&mut shutdown, start + ms(200), confirmed), []);
    let resumed = start + LONGEST_DEADLINE + SHUTDOWN_GRACE + ms(100);
    assert_eq!(steps_after_pause(&mut shutdown, resumed, confirmed), [Step::StopNewAttempts]);
    assert_eq!(
        steps(&mut shutdown, resumed + MIN_TIME_AFTER_PAUSE - FINAL_NOTICE_PERIOD, confirmed),
        [Step::FinalNotice]
    );
}

/// A slow process that takes each delay for a pause would never send its final responses, and SIGKILL may
/// come 0.7 s after the longest deadline.
#[test]
fn a_slow_process_sends_its_final_responses_in_time_and_exits() {
    let start = Instant::now();
    let mut random = 7_u64;
    for round in 0..2_000 {
        let mut shutdown = Shutdown::new(start, LONGEST_DEADLINE);
        let (mut now, mut notified_at) = (start, None);
        let max_gap = 10 + round % 140;
        let ended_at = loop {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            now += ms(1 + (random >> 33) % max_gap);
            let steps = steps_after_pause(&mut shutdown, now, remaining(HandoverStatus::Confirmed));
            if steps.contains(&Step::End) {
                break now;
            }
            notified_at = notified_at.or(steps.contains(&Step::FinalNotice).then_some(now));
        };
        let notified_at = notified_at.expect("a final notice before the exit");
        let latest = start + LONGEST_DEADLINE + SHUTDOWN_GRACE - FINAL_NOTICE_PERIOD + ms(2 * max_gap);
        assert!(notified_at <= latest, "gaps of up to {max_gap}: {:?}", notified_at - start);
        assert!(
            ended_at >= notified_at + FINAL_NOTICE_PERIOD
                && ended_at <= notified_at + FINAL_NOTICE_PERIOD + ms(20 + 2 * max_gap)
        );
    }
}
