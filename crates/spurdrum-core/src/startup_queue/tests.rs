use super::*;

fn request(id: u64, budget_ms: f64) -> Request {
    Request::new(RequestId(id), 0, budget_ms)
}

/// Requests whose clients have left, or that were refused, are not released; the others are in order of
/// arrival, with the rest of their time.
#[test]
fn requests_are_released_in_order_with_the_time_that_is_left() {
    let (mut queue, start) = (StartupQueue::default(), Instant::now());
    let after = |ms| start + Duration::from_millis(ms);
    for (id, arrived) in [(1, 0), (2, 100), (3, 200), (4, 250)] {
        assert_eq!(queue.push(request(id, 500.0), after(arrived)), Duration::from_millis(200));
    }
    assert!(queue.remove(RequestId(2)) && !queue.remove(RequestId(2)) && !queue.remove(RequestId(9)));
    let released: Vec<(u64, f64)> =
        queue.drain_all(after(300)).into_iter().map(|request| (request.id.0, request.budget_ms)).collect();
    assert_eq!(released, [(1, 200.0), (3, 400.0), (4, 450.0)]);
    assert!(queue.drain_all(after(300)).is_empty());
}

/// A request whose time is over has no time left, but no negative one.
#[test]
fn a_request_whose_time_is_over_has_none_left() {
    let (mut queue, start) = (StartupQueue::default(), Instant::now());
    queue.push(request(1, 500.0), start);
    assert_eq!(queue.drain_all(start + Duration::from_secs(2))[0].budget_ms, 0.0);
}
