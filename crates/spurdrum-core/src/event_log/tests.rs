use super::*;

#[test]
fn a_flood_of_lines_is_cut_to_the_rate_and_the_rest_counted() {
    const LINES: u64 = 100_000;
    const SECONDS: f64 = 10.0;
    let mut budget = LineBudget::default();
    let (mut written, mut left_out_total) = (0, 0);
    for line in 0..LINES {
        if let LineVerdict::Write { left_out } = budget.take(line as f64 * SECONDS / LINES as f64) {
            (written, left_out_total) = (written + 1, left_out_total + left_out);
        }
    }
    assert!(written as f64 <= MAX_BURST_LINES + SECONDS * MAX_LINES_PER_SECOND, "{written}");
    let LineVerdict::Write { left_out } = budget.take(2.0 * SECONDS) else { panic!("a line fits now") };
    assert_eq!(written + left_out_total + left_out, LINES);
    assert_eq!(budget.take(2.0 * SECONDS), LineVerdict::Write { left_out: 0 });
}

#[test]
fn a_long_line_is_cut_between_two_characters() {
    assert_eq!(truncated("short".to_owned()), "short");
    let line = truncated("é".repeat(MAX_LINE_BYTES));
    assert_eq!(line, "é".repeat(MAX_LINE_BYTES / 2));
}
