//! Any scenario text is either parsed or rejected with a line number.

use proptest::prelude::*;
use spurdrum_standin::scenario::Scenario;

const VALID: &str = "seed = 3\ntrack = 9\n[[servers]]\nname = \"s\"\ncount = 2\ncores = 4\nwork_ms = 1.5\nwork = \"lognormal\"\n\
                     [catalog]\ndelay_ms = 5\n[[fault]]\non = \"s1\"\nkind = \"slow\"\nfactor = 2\nat_s = 1\nfor_s = 2\n";

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_corrupted_scenario_is_parsed_or_rejected_with_a_line(
        at in 0..VALID.len(),
        removed in 0..20_usize,
        inserted in "[-a-z0-9=.\"\\[\\]{} \n]{0,12}",
    ) {
        let end = (at + removed).min(VALID.len());
        let text = format!("{}{inserted}{}", &VALID[..at], &VALID[end..]);
        if let Err(why) = Scenario::parse(&text) {
            let line = why.split(':').next().and_then(|line| line.parse::<usize>().ok());
            prop_assert!(line.is_some_and(|line| line <= text.lines().count() + 1), "{why}");
        }
    }
}
