use super::*;

const LONGEST: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn remaining(handover_status: HandoverStatus) -> Remaining {
    Remaining { handover_status, idle: false, handed_over: false }
}

/// All steps up to `now`, of a process that looks as often as it means to.
fn steps(shutdown: &mut Shutdown, now: Instant, remaining: Remaining) -> Vec<Step> {
    let mut steps = Vec::new();
    while shutdown.looked_at < now && !steps.contains(&Step::End) {
        let next = shutdown.next_look(shutdown.looked_at).min(now);
        shutdown.look(next, remaining, &mut steps);
    }
    if steps.is_empty() {
        shutdown.look(now, remaining, &mut steps);
    }
    steps
}

/// The steps of a process that stood still since its last look.
fn steps_after_pause(shutdown: &mut Shutdown, now: Instant, remaining: Remaining) -> Vec<Step> {
    let mut steps = Vec::new();
    shutdown.look(now, remaining, &mut steps);
    steps
}

/// Guards against a handover that is decided once, at the signal, when its confirmation lies unread in the socket.
#[test]
fn a_confirmation_that_is_read_after_the_signal_still_hands_over() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST);
    assert_eq!(steps(&mut shutdown, start, remaining(HandoverStatus::Offered)), []);
    assert!(shutdown.accepts(), "it serves as before until then");
    let after = steps(&mut shutdown, start + ms(1), remaining(HandoverStatus::Confirmed));
    assert_eq!(after, [Step::HandOver]);
    assert!(!shutdown.accepts());
    let done = Remaining { handover_status: HandoverStatus::Confirmed, idle: true, handed_over: true };
    assert_eq!(steps(&mut shutdown, start + ms(20), done), [Step::End]);
}

#[test]
fn a_confirmation_that_does_not_come_is_not_waited_for_and_counts_all_the_same_when_it_does() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST);
    let offered = remaining(HandoverStatus::Offered);
    assert_eq!(steps(&mut shutdown, start + CONFIRMATION_MOST - ms(1), offered), []);
    assert_eq!(steps(&mut shutdown, start + CONFIRMATION_MOST, offered), [Step::Close]);
    assert_eq!(steps(&mut shutdown, start + ms(300), offered), []);
    assert!(shutdown.accepts());
    let late = steps(&mut shutdown, start + ms(400), remaining(HandoverStatus::Confirmed));
    assert_eq!(late, [Step::HandOver]);
    assert!(!shutdown.accepts());
}

#[test]
fn where_the_other_process_dies_this_one_closes_by_itself() {
    let start = Instant::now();
    for before in [HandoverStatus::Offered, HandoverStatus::Confirmed] {
        let mut shutdown = Shutdown::new(start, LONGEST);
        steps(&mut shutdown, start, remaining(before));
        assert_eq!(steps(&mut shutdown, start + ms(50), remaining(HandoverStatus::None)), [Step::Close]);
        assert!(shutdown.accepts());
        let idle = Remaining { idle: true, ..remaining(HandoverStatus::None) };
        assert_eq!(steps(&mut shutdown, start + STILL_COMING - ms(1), idle), []);
        assert_eq!(steps(&mut shutdown, start + STILL_COMING, idle), [Step::CloseIdle, Step::End]);
    }
}

#[test]
fn connections_that_still_come_keep_it_from_closing_those_that_rest() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST);
    steps(&mut shutdown, start, remaining(HandoverStatus::None));
    shutdown.accepted(start + ms(400));
    let idle = Remaining { idle: true, ..remaining(HandoverStatus::None) };
    assert_eq!(steps(&mut shutdown, start + ms(400) + QUIET - ms(1), idle), []);
    assert_eq!(steps(&mut shutdown, start + ms(400) + QUIET, idle), [Step::CloseIdle, Step::End]);
}

/// Guards against a process that hands over, ends at its time and leaves what still waits with no answer.
#[test]
fn whatever_is_left_gets_its_last_answer_before_the_end() {
    let start = Instant::now();
    for handover_status in [HandoverStatus::None, HandoverStatus::Offered, HandoverStatus::Confirmed] {
        let mut shutdown = Shutdown::new(start, LONGEST);
        steps(&mut shutdown, start, remaining(handover_status));
        let end = start + LONGEST + END;
        let called = steps(&mut shutdown, end - LAST_CALL, remaining(handover_status));
        assert!(called.contains(&Step::LastCall), "{handover_status:?}: {called:?}");
        assert!(!called.contains(&Step::End), "{handover_status:?}: {called:?}");
        let again = steps(&mut shutdown, end - ms(1), remaining(handover_status));
        assert!(
            !again.contains(&Step::LastCall) && !again.contains(&Step::End),
            "{handover_status:?}: {again:?}"
        );
        assert_eq!(steps(&mut shutdown, end, remaining(handover_status)), [Step::End]);
    }
}

/// Guards against a confirmation that is not waited for because this process stood still.
#[test]
fn a_pause_of_this_process_is_no_part_of_the_wait_for_a_confirmation() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST);
    let offered = remaining(HandoverStatus::Offered);
    assert_eq!(steps(&mut shutdown, start + ms(50), offered), []);
    assert_eq!(steps_after_pause(&mut shutdown, start + ms(1050), offered), []);
    assert_eq!(steps(&mut shutdown, start + ms(1050 + 199), offered), []);
    let after = steps(&mut shutdown, start + ms(1050 + 200), offered);
    assert_eq!(after.first(), Some(&Step::Close));
}

/// Guards against a second pause that counts as slowness of others, because the first one has been seen.
#[test]
fn each_pause_of_this_process_counts_and_not_only_the_first() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST);
    let offered = remaining(HandoverStatus::Offered);
    let mut now = start;
    for _ in 0..3 {
        now += ms(50);
        assert_eq!(steps(&mut shutdown, now, offered), []);
        now += ms(400);
        assert_eq!(steps_after_pause(&mut shutdown, now, offered), [], "it still waits for the confirmation");
    }
    assert_eq!(steps(&mut shutdown, now + ms(10), remaining(HandoverStatus::Confirmed)), [Step::HandOver]);
}

/// Guards against a pause of this process that it takes for a time in which nobody connects: who did would be reset.
#[test]
fn a_pause_of_this_process_is_no_quiet_time() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST);
    let idle = Remaining { idle: true, ..remaining(HandoverStatus::None) };
    assert_eq!(steps(&mut shutdown, start + ms(50), idle), [Step::Close]);
    assert_eq!(steps_after_pause(&mut shutdown, start + ms(1050), idle), []);
    let quiet = start + ms(1050) - ms(50) + QUIET;
    assert_eq!(steps(&mut shutdown, quiet - ms(1), idle), []);
    assert_eq!(steps(&mut shutdown, quiet, idle), [Step::CloseIdle, Step::End]);
}

/// Guards against an end without last answers, and before what has come meanwhile is read.
#[test]
fn a_process_that_stood_still_past_its_deadline_gives_last_answers_before_it_ends() {
    let start = Instant::now();
    let ending = |shutdown: &mut Shutdown, now, handover_status| {
        let steps = steps(shutdown, now, remaining(handover_status));
        steps.into_iter().filter(|step| *step != Step::CloseIdle).collect::<Vec<_>>()
    };
    for handover_status in [HandoverStatus::None, HandoverStatus::Confirmed] {
        let mut shutdown = Shutdown::new(start, LONGEST);
        steps(&mut shutdown, start, remaining(handover_status));
        let resumed = start + LONGEST + END + ms(500);
        let begins_nothing = [Step::BeginNothing];
        assert_eq!(steps_after_pause(&mut shutdown, resumed, remaining(handover_status)), begins_nothing);
        let end = resumed + RESUMED_LEAST;
        assert_eq!(ending(&mut shutdown, end - LAST_CALL - ms(1), handover_status), []);
        assert_eq!(ending(&mut shutdown, end - LAST_CALL, handover_status), [Step::LastCall]);
        assert_eq!(ending(&mut shutdown, end - ms(1), handover_status), []);
        assert_eq!(ending(&mut shutdown, end, handover_status), [Step::End]);
    }
}

/// Guards against an attempt that begins right before the last call, where another process has time for it.
#[test]
fn past_the_longest_deadline_nothing_begins_where_another_process_takes_over() {
    let start = Instant::now();
    let first_told = |handover_status| {
        let mut shutdown = Shutdown::new(start, LONGEST);
        let mut now = start;
        while !steps(&mut shutdown, now, remaining(handover_status)).contains(&Step::BeginNothing) {
            assert!(now < start + LONGEST + END, "{handover_status:?}: it never is told");
            now += ms(10);
        }
        now - start
    };
    assert_eq!(first_told(HandoverStatus::Confirmed), LONGEST);
    assert_eq!(first_told(HandoverStatus::None), LONGEST + END - LAST_CALL, "nobody else has time for it");
}

/// Guards against a request that is refused though another process is there: its confirmation lies unread as this one goes on.
#[test]
fn past_its_end_a_process_waits_for_the_confirmation_before_it_gives_up_what_has_not_begun() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST);
    let offered = remaining(HandoverStatus::Offered);
    assert_eq!(steps(&mut shutdown, start + ms(50), offered), []);
    let resumed = start + LONGEST + END + ms(500);
    assert_eq!(steps_after_pause(&mut shutdown, resumed, offered), []);
    let after = steps(&mut shutdown, resumed + ms(5), remaining(HandoverStatus::Confirmed));
    assert_eq!(after, [Step::HandOver, Step::BeginNothing]);
    let again = steps(&mut shutdown, resumed + ms(15), remaining(HandoverStatus::Confirmed));
    assert_eq!(again, [], "it is told once");
}

/// Guards against last answers before what came during a pause is read, where the process had been slow just before it.
#[test]
fn a_pause_past_the_deadline_counts_right_after_a_late_look_too() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, LONGEST);
    let confirmed = remaining(HandoverStatus::Confirmed);
    assert_eq!(steps(&mut shutdown, start + ms(50), confirmed), [Step::HandOver]);
    assert_eq!(steps_after_pause(&mut shutdown, start + ms(200), confirmed), []);
    let resumed = start + LONGEST + END + ms(100);
    assert_eq!(steps_after_pause(&mut shutdown, resumed, confirmed), [Step::BeginNothing]);
    assert_eq!(steps(&mut shutdown, resumed + RESUMED_LEAST - LAST_CALL, confirmed), [Step::LastCall]);
}

/// Guards against a process that is slow, takes that for pauses over and over and never gives its last answers: SIGKILL may come
/// 0.7 s after the longest deadline.
#[test]
fn a_process_that_is_slow_gives_its_last_answers_in_time_and_ends() {
    let start = Instant::now();
    let mut random = 7_u64;
    for round in 0..2_000 {
        let mut shutdown = Shutdown::new(start, LONGEST);
        let (mut now, mut called) = (start, None);
        let longest_gap = 10 + round % 140;
        let ended = loop {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            now += ms(1 + (random >> 33) % longest_gap);
            let came = steps_after_pause(&mut shutdown, now, remaining(HandoverStatus::Confirmed));
            if came.contains(&Step::End) {
                break now;
            }
            called = called.or(came.contains(&Step::LastCall).then_some(now));
        };
        let called = called.expect("a last call before the end");
        let latest = start + LONGEST + END - LAST_CALL + ms(2 * longest_gap);
        assert!(called <= latest, "gaps of up to {longest_gap}: {:?}", called - start);
        assert!(ended >= called + LAST_CALL && ended <= called + LAST_CALL + ms(20 + 2 * longest_gap));
    }
}
