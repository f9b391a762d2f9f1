//! The state machines of both sides, without sockets: messages, lost channels and shutdown at every point of
//! a handover.

use proptest::prelude::*;
use serde_json::Value;
use spurdrum_handover::{
    FrameError, Frames, Identity, Incoming, IncomingAction, IncomingEvent, IncomingId, Message, Outgoing,
    OutgoingAction, OutgoingEvent, FORMAT, MAX_FRAME_PAYLOAD,
};

const ID: IncomingId = IncomingId(1);

fn identity() -> Identity {
    Identity {
        format: FORMAT,
        name: "n0".into(),
        listen: "127.0.0.1:1".into(),
        accepts_requests: true,
        accepts_memory_shares: true,
        accepts_begun_requests: true,
    }
}

/// Feeds events to a new outgoing state machine. Returns it with the actions of the last event.
fn outgoing(events: &[OutgoingEvent]) -> (Outgoing, Vec<OutgoingAction>) {
    let (mut outgoing, mut actions) = (Outgoing::new(identity()), Vec::new());
    for event in events {
        actions.clear();
        outgoing.handle(event.clone(), &mut actions);
    }
    (outgoing, actions)
}

fn hello() -> OutgoingEvent {
    OutgoingEvent::Received(ID, Message::Hello(identity()))
}

fn confirm() -> OutgoingEvent {
    OutgoingEvent::Received(ID, Message::Confirm)
}

#[test]
fn an_outgoing_process_hands_over_at_shutdown_once_the_incoming_one_has_confirmed() {
    let (outgoing, actions) = outgoing(&[OutgoingEvent::Connected(ID), hello()]);
    assert_eq!(actions, [OutgoingAction::Offer(ID)]);
    assert!(!outgoing.is_confirmed());
    let (mut outgoing, actions) = self::outgoing(&[OutgoingEvent::Connected(ID), hello(), confirm()]);
    assert_eq!(actions, [OutgoingAction::Confirmed(ID)]);
    assert!(outgoing.is_confirmed());
    let mut actions = Vec::new();
    outgoing.handle(OutgoingEvent::Stop, &mut actions);
    assert_eq!(actions, [OutgoingAction::HandOver(ID)]);
    // The incoming process dies during the handover: the outgoing one serves the whole node again.
    outgoing.handle(OutgoingEvent::Lost(ID), &mut actions);
    assert_eq!(actions[1..], [OutgoingAction::ResumeAlone]);
}

/// An older version does not know `Message::Request` and would close the channel on it, which would lose the
/// connection.
#[test]
fn connections_with_a_request_go_only_to_a_process_that_accepts_them() {
    for accepts_requests in [true, false] {
        let hello = Message::Hello(Identity { accepts_requests, ..identity() });
        let (mut outgoing, _) = outgoing(&[OutgoingEvent::Connected(ID), OutgoingEvent::Received(ID, hello)]);
        assert!(!outgoing.can_hand_over_requests(), "the incoming process has not confirmed yet");
        outgoing.handle(confirm(), &mut Vec::new());
        assert_eq!(outgoing.can_hand_over_requests(), accepts_requests);
    }
    let old_format = r#"{"format":1,"name":"n0","listen":"127.0.0.1:1"}"#;
    let old_identity: Identity =
        serde_json::from_str(old_format).expect("the older format is still accepted");
    assert!(old_identity.is_same_node(&identity()) && !old_identity.accepts_requests);
}

/// An older version does not know `Message::MemoryShare` and would take it for the end of the handover.
#[test]
fn shares_of_the_memory_are_told_only_to_a_process_that_accepts_them() {
    for accepts_memory_shares in [true, false] {
        let hello = Message::Hello(Identity { accepts_memory_shares, ..identity() });
        let (outgoing, _) = outgoing(&[OutgoingEvent::Connected(ID), OutgoingEvent::Received(ID, hello)]);
        assert_eq!(outgoing.accepts_memory_shares(), accepts_memory_shares);
    }
    let old_identity = r#"{"format":1,"name":"n0","listen":"127.0.0.1:1","accepts_requests":true}"#;
    let old_identity: Identity = serde_json::from_str(old_identity).expect("still accepted");
    assert!(!old_identity.accepts_memory_shares);
    let old_offer = r#"{"Offer":{"share":9,"state":null}}"#;
    let old_offer: Message = serde_json::from_str(old_offer).expect("still accepted");
    assert_eq!(
        old_offer,
        Message::Offer { share: 9, memory: None, accepts_begun_requests: false, state: Value::Null }
    );
}

#[test]
fn a_shutdown_before_the_confirmation_hands_over_once_the_confirmation_arrives() {
    let (_, actions) = outgoing(&[OutgoingEvent::Connected(ID), hello(), OutgoingEvent::Stop, confirm()]);
    assert_eq!(actions, [OutgoingAction::Confirmed(ID), OutgoingAction::HandOver(ID)]);
    let (_, actions) =
        outgoing(&[OutgoingEvent::Connected(ID), hello(), OutgoingEvent::Stop, OutgoingEvent::Lost(ID)]);
    assert_eq!(actions, [OutgoingAction::ResumeAlone]);
    let (_, actions) = outgoing(&[OutgoingEvent::Connected(ID), OutgoingEvent::Stop]);
    assert!(matches!(actions[..], [OutgoingAction::Decline(ID, _)]));
    let (_, actions) = outgoing(&[OutgoingEvent::Stop, OutgoingEvent::Connected(ID)]);
    assert!(matches!(actions[..], [OutgoingAction::Decline(ID, _)]));
}

#[test]
fn another_node_or_format_is_declined_and_the_next_process_may_take_over() {
    let others = [
        Identity { format: FORMAT + 1, ..identity() },
        Identity { name: "n1".into(), ..identity() },
        Identity { listen: "127.0.0.1:2".into(), ..identity() },
    ];
    for other in others {
        let other_hello = OutgoingEvent::Received(ID, Message::Hello(other));
        let (_, actions) = outgoing(&[OutgoingEvent::Connected(ID), other_hello.clone()]);
        assert!(matches!(actions[..], [OutgoingAction::Decline(ID, _)]));
        let next = IncomingId(2);
        let hello = OutgoingEvent::Received(next, Message::Hello(identity()));
        let (_, actions) =
            outgoing(&[OutgoingEvent::Connected(ID), other_hello, OutgoingEvent::Connected(next), hello]);
        assert_eq!(actions, [OutgoingAction::Offer(next)]);
    }
}

#[test]
fn only_one_of_several_incoming_processes_takes_over() {
    let connected = [OutgoingEvent::Connected(ID), OutgoingEvent::Connected(IncomingId(2))];
    assert!(matches!(outgoing(&connected).1[..], [OutgoingAction::Decline(IncomingId(2), _)]));
    // After an incoming process has died before it confirmed, the next one may take over.
    let (_, actions) = outgoing(&[OutgoingEvent::Connected(ID), hello(), OutgoingEvent::Lost(ID)]);
    assert_eq!(actions, [OutgoingAction::ResumeAlone]);
    let next = IncomingId(3);
    let hello_3 = OutgoingEvent::Received(next, Message::Hello(identity()));
    let (_, actions) = outgoing(&[
        OutgoingEvent::Connected(ID),
        hello(),
        OutgoingEvent::Lost(ID),
        OutgoingEvent::Connected(next),
        hello_3,
    ]);
    assert_eq!(actions, [OutgoingAction::Offer(next)]);
}

#[test]
fn an_incoming_process_starts_alone_unless_it_is_offered_the_listening_socket() {
    let run = |events: Vec<IncomingEvent>| {
        let (mut incoming, mut actions) = (Incoming::new(identity()), Vec::new());
        for event in events {
            incoming.handle(event, &mut actions);
        }
        actions
    };
    let starts_alone =
        |actions: &[IncomingAction]| matches!(actions.last(), Some(IncomingAction::StartAlone(_)));
    assert!(starts_alone(&run(vec![IncomingEvent::Lost])));
    assert!(starts_alone(&run(vec![IncomingEvent::Connected, IncomingEvent::Lost])));
    assert!(starts_alone(&run(vec![
        IncomingEvent::Connected,
        IncomingEvent::Received(Message::Decline("no".into()))
    ])));
    assert!(starts_alone(&run(vec![IncomingEvent::Connected, IncomingEvent::Received(Message::Share(3))])));
    let offer = IncomingEvent::Received(Message::Offer {
        share: 9,
        memory: Some(7),
        accepts_begun_requests: true,
        state: Value::Null,
    });
    let actions = run(vec![
        IncomingEvent::Connected,
        offer,
        IncomingEvent::Received(Message::Connection),
        IncomingEvent::Received(Message::Request { read: b"GET".to_vec() }),
        IncomingEvent::Received(Message::Share(2)),
        IncomingEvent::Received(Message::MemoryShare(5)),
        IncomingEvent::Received(Message::Begun(vec![3, 4])),
        IncomingEvent::Lost,
        IncomingEvent::Received(Message::Connection),
    ]);
    assert_eq!(
        actions[1..],
        [
            IncomingAction::TakeOver {
                share: 9,
                memory: Some(7),
                accepts_begun_requests: true,
                state: Value::Null
            },
            IncomingAction::Send(Message::Confirm),
            IncomingAction::Serve(Vec::new()),
            IncomingAction::Serve(b"GET".to_vec()),
            IncomingAction::Share(2),
            IncomingAction::MemoryShare(5),
            IncomingAction::Begun(vec![3, 4]),
            IncomingAction::OutgoingGone
        ]
    );
}

/// Requests that have begun are told only to a process that has the listening socket and knows the message.
#[test]
fn requests_that_have_begun_are_exchanged_with_an_incoming_process_that_knows_them() {
    let received = |message| OutgoingEvent::Received(ID, message);
    for accepts_begun_requests in [true, false] {
        let hello = Message::Hello(Identity { accepts_begun_requests, ..identity() });
        let (unoffered, _) = outgoing(&[OutgoingEvent::Connected(ID)]);
        assert_eq!(unoffered.begun_requests_receiver(), None);
        let begun = received(Message::Begun(vec![1]));
        let (machine, actions) = outgoing(&[OutgoingEvent::Connected(ID), received(hello), begun]);
        assert_eq!(machine.begun_requests_receiver(), accepts_begun_requests.then_some(ID));
        assert_eq!(actions, [OutgoingAction::Begun(vec![1])]);
    }
}

#[test]
fn each_kind_of_invalid_frame_is_reported() {
    let valid = Message::Share(7).encode();
    let mut frames = Frames::default();
    frames.push(b"GET / HTTP");
    assert_eq!(frames.take(), Err(FrameError::Magic));
    let mut long = valid.clone();
    long[4..8].copy_from_slice(&(MAX_FRAME_PAYLOAD as u32 + 1).to_be_bytes());
    let mut frames = Frames::default();
    frames.push(&long);
    assert_eq!(frames.take(), Err(FrameError::Length));
    for at in 8..valid.len() {
        let mut corrupt = valid.clone();
        corrupt[at] ^= 0x20;
        let mut frames = Frames::default();
        frames.push(&corrupt);
        assert_eq!(frames.take(), Err(FrameError::Checksum), "byte {at}");
    }
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        Just(Message::Hello(identity())),
        Just(Message::Confirm),
        Just(Message::Connection),
        proptest::collection::vec(any::<u8>(), 0..40).prop_map(|read| Message::Request { read }),
        (0_usize..9).prop_map(Message::Share),
        any::<u64>().prop_map(Message::MemoryShare),
        proptest::collection::vec(any::<u64>(), 0..9).prop_map(Message::Begun),
        ".{0,40}".prop_map(Message::Decline),
        (0_usize..9).prop_map(|share| {
            Message::Offer {
                share,
                memory: Some(1 << share),
                accepts_begun_requests: true,
                state: serde_json::json!({"a": [1, 2]}),
            }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Decoded messages equal the encoded ones, in whatever pieces the bytes arrive.
    #[test]
    fn messages_are_decoded_from_any_pieces(
        messages in prop::collection::vec(message(), 1..6), piece_len in 1_usize..40
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(Message::encode).collect();
        let (mut frames, mut decoded) = (Frames::default(), Vec::new());
        for piece in bytes.chunks(piece_len) {
            frames.push(piece);
            while let Some(message) = frames.take().expect("a valid frame") {
                decoded.push(message);
            }
        }
        prop_assert_eq!(decoded, messages);
    }

    /// With any sequence of events, connections are handed over only to the one process that has confirmed.
    #[test]
    fn connections_are_handed_over_only_to_a_confirmed_process(
        events in prop::collection::vec((1_u64..4, 0_u8..4, message()), 0..40),
    ) {
        let (mut outgoing, mut confirmed) = (Outgoing::new(identity()), None);
        let mut offered = std::collections::HashSet::new();
        for (id, kind, message) in events {
            let id = IncomingId(id);
            let event = match kind {
                0 => OutgoingEvent::Connected(id),
                1 => OutgoingEvent::Lost(id),
                2 => OutgoingEvent::Received(id, message),
                _ => OutgoingEvent::Stop,
            };
            let mut actions = Vec::new();
            outgoing.handle(event, &mut actions);
            for action in actions {
                match action {
                    OutgoingAction::Offer(id) => drop(offered.insert(id)),
                    OutgoingAction::Confirmed(id) => {
                        prop_assert!(offered.contains(&id) && confirmed.is_none());
                        confirmed = Some(id);
                    }
                    OutgoingAction::HandOver(id) => prop_assert_eq!(confirmed, Some(id)),
                    OutgoingAction::ResumeAlone => confirmed = None,
                    OutgoingAction::Begun(_) => prop_assert!(!offered.is_empty()),
                    OutgoingAction::Decline(..) | OutgoingAction::Drop(_) => {}
                }
            }
            prop_assert_eq!(outgoing.is_confirmed(), confirmed.is_some());
        }
    }
}
