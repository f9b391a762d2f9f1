//! Both sides without sockets: every message and every loss at every point.

use proptest::prelude::*;
use serde_json::Value;
use spurdrum_handover::{
    Elder, ElderAction, ElderEvent, Frames, Heir, HeirAction, HeirEvent, HeirId, Identity, Message, Unsound,
    FORMAT, FRAME_MOST,
};

const ID: HeirId = HeirId(1);

fn identity() -> Identity {
    Identity { format: FORMAT, name: "n0".into(), listen: "127.0.0.1:1".into() }
}

fn elder(events: &[ElderEvent]) -> (Elder, Vec<ElderAction>) {
    let (mut elder, mut actions) = (Elder::new(identity()), Vec::new());
    for event in events {
        actions.clear();
        elder.handle(event.clone(), &mut actions);
    }
    (elder, actions)
}

fn hello() -> ElderEvent {
    ElderEvent::Said(ID, Message::Hello(identity()))
}

fn confirm() -> ElderEvent {
    ElderEvent::Said(ID, Message::Confirm)
}

#[test]
fn a_process_is_succeeded_once_the_other_has_confirmed_and_passes_when_told_to_end() {
    let (elder, actions) = elder(&[ElderEvent::Called(ID), hello()]);
    assert_eq!(actions, [ElderAction::Offer(ID)]);
    assert!(!elder.is_succeeded());
    let (mut elder, actions) = self::elder(&[ElderEvent::Called(ID), hello(), confirm()]);
    assert_eq!(actions, [ElderAction::Succeeded(ID)]);
    assert!(elder.is_succeeded());
    let mut actions = Vec::new();
    elder.handle(ElderEvent::Stop, &mut actions);
    assert_eq!(actions, [ElderAction::Pass(ID)]);
    // It dies while it takes over: the old one has all of the node again.
    elder.handle(ElderEvent::Lost(ID), &mut actions);
    assert_eq!(actions[1..], [ElderAction::Alone]);
}

#[test]
fn told_to_end_before_the_confirmation_it_passes_once_that_comes() {
    let (_, actions) = elder(&[ElderEvent::Called(ID), hello(), ElderEvent::Stop, confirm()]);
    assert_eq!(actions, [ElderAction::Succeeded(ID), ElderAction::Pass(ID)]);
    let (_, actions) = elder(&[ElderEvent::Called(ID), hello(), ElderEvent::Stop, ElderEvent::Lost(ID)]);
    assert_eq!(actions, [ElderAction::Alone]);
    let (_, actions) = elder(&[ElderEvent::Called(ID), ElderEvent::Stop]);
    assert!(matches!(actions[..], [ElderAction::Decline(ID, _)]));
    let (_, actions) = elder(&[ElderEvent::Stop, ElderEvent::Called(ID)]);
    assert!(matches!(actions[..], [ElderAction::Decline(ID, _)]));
}

#[test]
fn another_node_or_format_is_declined_and_the_next_may_call() {
    let strangers = [
        Identity { format: FORMAT + 1, ..identity() },
        Identity { name: "n1".into(), ..identity() },
        Identity { listen: "127.0.0.1:2".into(), ..identity() },
    ];
    for stranger in strangers {
        let said = ElderEvent::Said(ID, Message::Hello(stranger));
        let (_, actions) = elder(&[ElderEvent::Called(ID), said.clone()]);
        assert!(matches!(actions[..], [ElderAction::Decline(ID, _)]));
        let next = HeirId(2);
        let hello = ElderEvent::Said(next, Message::Hello(identity()));
        let (_, actions) = elder(&[ElderEvent::Called(ID), said, ElderEvent::Called(next), hello]);
        assert_eq!(actions, [ElderAction::Offer(next)]);
    }
}

#[test]
fn of_three_starts_at_once_one_takes_over() {
    let called = [ElderEvent::Called(ID), ElderEvent::Called(HeirId(2))];
    assert!(matches!(elder(&called).1[..], [ElderAction::Decline(HeirId(2), _)]));
    // One that dies before it confirms leaves its place to the next.
    let (_, actions) = elder(&[ElderEvent::Called(ID), hello(), ElderEvent::Lost(ID)]);
    assert_eq!(actions, [ElderAction::Alone]);
    let next = HeirId(3);
    let hello_3 = ElderEvent::Said(next, Message::Hello(identity()));
    let (_, actions) =
        elder(&[ElderEvent::Called(ID), hello(), ElderEvent::Lost(ID), ElderEvent::Called(next), hello_3]);
    assert_eq!(actions, [ElderAction::Offer(next)]);
}

#[test]
fn an_heir_starts_alone_unless_it_is_offered_the_socket() {
    let run = |events: Vec<HeirEvent>| {
        let (mut heir, mut actions) = (Heir::new(identity()), Vec::new());
        for event in events {
            heir.handle(event, &mut actions);
        }
        actions
    };
    let alone = |actions: &[HeirAction]| matches!(actions.last(), Some(HeirAction::StartAlone(_)));
    assert!(alone(&run(vec![HeirEvent::Lost])));
    assert!(alone(&run(vec![HeirEvent::Connected, HeirEvent::Lost])));
    assert!(alone(&run(vec![HeirEvent::Connected, HeirEvent::Said(Message::Decline("no".into()))])));
    assert!(alone(&run(vec![HeirEvent::Connected, HeirEvent::Said(Message::Share(3))])));
    let offer = HeirEvent::Said(Message::Offer { share: 9, state: Value::Null });
    let actions = run(vec![
        HeirEvent::Connected,
        offer,
        HeirEvent::Said(Message::Connection),
        HeirEvent::Said(Message::Share(2)),
        HeirEvent::Lost,
        HeirEvent::Said(Message::Connection),
    ]);
    assert_eq!(
        actions[1..],
        [
            HeirAction::Inherit { share: 9, state: Value::Null },
            HeirAction::Send(Message::Confirm),
            HeirAction::Serve,
            HeirAction::Share(2),
            HeirAction::Alone
        ]
    );
}

#[test]
fn what_is_no_message_is_told() {
    let sound = Message::Share(7).encode();
    let mut frames = Frames::default();
    frames.push(b"GET / HTTP");
    assert_eq!(frames.take(), Err(Unsound::Magic));
    let mut long = sound.clone();
    long[4..8].copy_from_slice(&(FRAME_MOST as u32 + 1).to_be_bytes());
    let mut frames = Frames::default();
    frames.push(&long);
    assert_eq!(frames.take(), Err(Unsound::Length));
    for at in 8..sound.len() {
        let mut damaged = sound.clone();
        damaged[at] ^= 0x20;
        let mut frames = Frames::default();
        frames.push(&damaged);
        assert_eq!(frames.take(), Err(Unsound::Checksum), "byte {at}");
    }
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        Just(Message::Hello(identity())),
        Just(Message::Confirm),
        Just(Message::Connection),
        (0_usize..9).prop_map(Message::Share),
        ".{0,40}".prop_map(Message::Decline),
        (0_usize..9).prop_map(|share| Message::Offer { share, state: serde_json::json!({"a": [1, 2]}) }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Messages come out as they went in, however the bytes are cut.
    #[test]
    fn messages_survive_any_pieces(messages in prop::collection::vec(message(), 1..6), piece in 1_usize..40) {
        let bytes: Vec<u8> = messages.iter().flat_map(Message::encode).collect();
        let (mut frames, mut got) = (Frames::default(), Vec::new());
        for piece in bytes.chunks(piece) {
            frames.push(piece);
            while let Some(message) = frames.take().expect("sound") {
                got.push(message);
            }
        }
        prop_assert_eq!(got, messages);
    }

    /// Whatever is said in whatever order: nothing is passed to anyone but the one process that has confirmed.
    #[test]
    fn only_a_confirmed_heir_is_passed_to(
        events in prop::collection::vec((1_u64..4, 0_u8..4, message()), 0..40),
    ) {
        let (mut elder, mut confirmed) = (Elder::new(identity()), None);
        let mut offered = std::collections::HashSet::new();
        for (id, kind, message) in events {
            let id = HeirId(id);
            let event = match kind {
                0 => ElderEvent::Called(id),
                1 => ElderEvent::Lost(id),
                2 => ElderEvent::Said(id, message),
                _ => ElderEvent::Stop,
            };
            let mut actions = Vec::new();
            elder.handle(event, &mut actions);
            for action in actions {
                match action {
                    ElderAction::Offer(id) => drop(offered.insert(id)),
                    ElderAction::Succeeded(id) => {
                        prop_assert!(offered.contains(&id) && confirmed.is_none());
                        confirmed = Some(id);
                    }
                    ElderAction::Pass(id) => prop_assert_eq!(confirmed, Some(id)),
                    ElderAction::Alone => confirmed = None,
                    ElderAction::Decline(..) | ElderAction::Drop(_) => {}
                }
            }
            prop_assert_eq!(elder.is_succeeded(), confirmed.is_some());
        }
    }
}
