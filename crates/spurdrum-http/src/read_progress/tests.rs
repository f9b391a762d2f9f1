use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn only_a_client_that_takes_nothing_is_stalled() {
    let (started, mut progress) = (Instant::now(), ReadProgress::default());
    for second in 0..20 {
        assert_eq!(
            progress.stalled_for(started + second * SECOND, u64::from(second / 4)),
            second % 4 * SECOND
        );
    }
}

#[test]
fn what_is_left_may_take_as_long_as_at_the_lowest_rate() {
    assert_eq!(sending_time(0, SECOND, 16_384.0), SECOND);
    assert_eq!(sending_time(1 << 20, SECOND, 16_384.0), 65 * SECOND);
}
