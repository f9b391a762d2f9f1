use super::*;

#[test]
fn a_request_is_remembered_for_a_while_unless_it_surely_has_not_run() {
    let (mut begun, [first, second]) =
        (BegunRequests::default(), [b"r1", b"r2"].map(|id| RequestHash::of(id)));
    assert!(begun.insert(Duration::ZERO, first));
    assert!(!begun.insert(Duration::ZERO, first));
    assert!(begun.insert(Duration::from_secs(1), second));
    assert_eq!(begun.all(RETENTION - Duration::from_millis(1)), [first, second]);
    assert!(!begun.contains(RETENTION, first) && begun.contains(RETENTION, second));
    begun.remove(second);
    assert!(!begun.contains(RETENTION, second) && begun.all(RETENTION).is_empty());
}

#[test]
fn ever_new_requests_take_bounded_memory() {
    let mut begun = BegunRequests::default();
    for number in 0..3 * MAX_REQUESTS as u64 {
        begun.insert(Duration::ZERO, RequestHash(number));
        begun.remove(RequestHash(number.wrapping_sub(1)));
    }
    assert!(begun.by_age.len() <= MAX_REQUESTS && begun.hashes.len() <= MAX_REQUESTS);
    assert!(begun.contains(Duration::ZERO, RequestHash(3 * MAX_REQUESTS as u64 - 1)));
}
