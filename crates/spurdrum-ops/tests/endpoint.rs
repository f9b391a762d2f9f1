//! The admin endpoint's state machine with all kinds of callers, without sockets or a clock.

use std::time::Duration;

use proptest::prelude::*;
use spurdrum_ops::{Action, AdminEndpoint, CallerId, Event, Settings};

fn endpoint(max_callers: usize) -> AdminEndpoint {
    AdminEndpoint::new(Settings { max_callers, ..Settings::default() })
}

fn handle(endpoint: &mut AdminEndpoint, at_ms: u64, event: Event<'_>) -> Vec<Action> {
    let mut actions = Vec::new();
    endpoint.handle(Duration::from_millis(at_ms), event, &mut actions);
    actions
}

/// Returns the actions when a new caller sends these bytes.
fn send(bytes: &[u8]) -> Vec<Action> {
    let (mut endpoint, id) = (endpoint(4), CallerId(1));
    handle(&mut endpoint, 0, Event::Connected(id));
    handle(&mut endpoint, 0, Event::Received(id, bytes))
}

fn answer(id: u64, line: &str) -> Action {
    Action::Answer(CallerId(id), line.to_owned())
}

#[test]
fn whitespace_around_a_line_and_bytes_after_it_are_ignored() {
    assert_eq!(send(b"readyz\n"), [answer(1, "readyz")]);
    assert_eq!(send(b" telemetry \r\nmore"), [answer(1, "telemetry")]);
    for invalid in [&b"\n"[..], b"  \r\n", b"\xff\xfe\n"] {
        assert!(matches!(send(invalid)[..], [Action::Reject(..)]), "{invalid:?}");
    }
}

#[test]
fn a_line_without_a_newline_is_answered_when_the_caller_closes_its_sending_direction() {
    let (mut endpoint, id) = (endpoint(4), CallerId(1));
    handle(&mut endpoint, 0, Event::Connected(id));
    assert_eq!(handle(&mut endpoint, 0, Event::Received(id, b"ready")), []);
    assert_eq!(handle(&mut endpoint, 1, Event::Received(id, b"z")), []);
    assert_eq!(handle(&mut endpoint, 2, Event::InputClosed(id)), [answer(1, "readyz")]);
}

#[test]
fn a_line_that_is_too_long_is_rejected_before_it_ends() {
    let (mut endpoint, id) = (endpoint(4), CallerId(1));
    handle(&mut endpoint, 0, Event::Connected(id));
    assert!(matches!(handle(&mut endpoint, 0, Event::Received(id, &[b'x'; 257]))[..], [Action::Reject(..)]));
    assert_eq!(endpoint.waiting_callers(), 0);
}

#[test]
fn silent_callers_are_evicted_oldest_first_and_rejected_after_the_time_out() {
    let mut endpoint = endpoint(2);
    for id in 1..=2 {
        assert_eq!(handle(&mut endpoint, id, Event::Connected(CallerId(id))), []);
    }
    assert_eq!(handle(&mut endpoint, 3, Event::Connected(CallerId(3))), [Action::Evict(CallerId(1))]);
    assert_eq!(endpoint.next_wake(), Some(Duration::from_millis(5002)));
    assert!(matches!(handle(&mut endpoint, 5002, Event::Tick)[..], [Action::Reject(CallerId(2), _)]));
    let actions = handle(&mut endpoint, 5002, Event::Received(CallerId(3), b"telemetry\n"));
    assert_eq!(actions, [answer(3, "telemetry")]);
    assert_eq!(endpoint.next_wake(), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// With any sequence of events, the number of callers stays within its limit and no caller gets two
    /// answers.
    #[test]
    fn limits_hold_and_each_caller_is_answered_at_most_once(
        events in prop::collection::vec((0_u8..5, 1_u64..12, prop::collection::vec(any::<u8>(), 0..300)), 0..60),
    ) {
        let mut endpoint = endpoint(3);
        let (mut answered, mut connected) = (std::collections::HashSet::new(), 0);
        for (step, (kind, id, bytes)) in events.iter().enumerate() {
            let event = match kind {
                0 => { connected += 1; Event::Connected(CallerId(connected)) }
                1 => Event::InputClosed(CallerId(*id)),
                2 => Event::Disconnected(CallerId(*id)),
                3 => Event::Tick,
                _ => Event::Received(CallerId(*id), bytes),
            };
            for action in handle(&mut endpoint, step as u64 * 500, event) {
                let (Action::Answer(id, _) | Action::Reject(id, _) | Action::Evict(id)) = action;
                prop_assert!(answered.insert(id), "{id:?} was answered twice");
            }
            prop_assert!(endpoint.waiting_callers() <= 3);
        }
    }

    /// The answer does not depend on the pieces in which a line arrives.
    #[test]
    fn a_line_in_any_pieces_is_the_same_line(lengths in prop::collection::vec(1_usize..10, 0..10)) {
        let (mut endpoint, id, mut rest) = (endpoint(1), CallerId(1), &b"telemetry\n"[..]);
        handle(&mut endpoint, 0, Event::Connected(id));
        let mut actions = Vec::new();
        for length in lengths.into_iter().chain([10]) {
            let (piece, remaining) = rest.split_at(length.min(rest.len()));
            actions.extend(handle(&mut endpoint, 0, Event::Received(id, piece)));
            rest = remaining;
        }
        prop_assert_eq!(actions, [Action::Answer(id, "telemetry".to_owned())]);
    }
}
