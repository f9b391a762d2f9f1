use super::*;

fn request(id: u64, budget_ms: f64) -> Request {
    Request::new(RequestId(id), 0, budget_ms)
}

/// Those that have left or were refused are not sent on; the others go in the order they came, with what is left of their time.
#[test]
fn requests_go_on_in_their_order_with_the_time_that_is_left() {
    let (mut line, start) = (Line::default(), Instant::now());
    let after = |ms| start + Duration::from_millis(ms);
    for (id, came) in [(1, 0), (2, 100), (3, 200), (4, 250)] {
        assert_eq!(line.join(request(id, 500.0), after(came)), Duration::from_millis(200));
    }
    assert!(line.leave(RequestId(2)) && !line.leave(RequestId(2)) && !line.leave(RequestId(9)));
    let gone_on: Vec<(u64, f64)> =
        line.release(after(300)).into_iter().map(|request| (request.id.0, request.budget_ms)).collect();
    assert_eq!(gone_on, [(1, 200.0), (3, 400.0), (4, 450.0)]);
    assert!(line.release(after(300)).is_empty());
}

/// What came too long ago has no time left, and none that is below zero.
#[test]
fn a_request_whose_time_is_over_has_none_left() {
    let (mut line, start) = (Line::default(), Instant::now());
    line.join(request(1, 500.0), start);
    assert_eq!(line.release(start + Duration::from_secs(2))[0].budget_ms, 0.0);
}
