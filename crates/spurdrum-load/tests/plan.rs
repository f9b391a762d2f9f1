//! Parsing a plan with arbitrary corruptions never panics: the plan is accepted, or rejected with a line
//! number.

use proptest::prelude::*;
use spurdrum_load::plan::Plan;

const VALID_PLAN: &str = "[[phase]]\nfor_s = 4\nshape = \"wave\"\nrate = 200\nswing = 0.5\nperiod_s = 2\n[[class]]\nname = \"u\"\n\
                     effect = \"keyed\"\naim_s = 0.4\ndeadline_s = 1\nbytes = [4, 4]\n[clients]\nretries = 2\n";

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_corrupted_plan_is_accepted_or_rejected_with_a_line_number(
        start in 0..VALID_PLAN.len(),
        removed in 0..20_usize,
        inserted in "[-a-z0-9=.\"\\[\\]{} \n]{0,12}",
    ) {
        let end = (start + removed).min(VALID_PLAN.len());
        let text = format!("{}{inserted}{}", &VALID_PLAN[..start], &VALID_PLAN[end..]);
        if let Err(error) = Plan::parse(&text) {
            let line = error.split(':').next().and_then(|line| line.parse::<usize>().ok());
            prop_assert!(line.is_some_and(|line| line <= text.lines().count() + 1), "{error}");
        }
    }
}
