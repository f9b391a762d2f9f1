//! What is read from files is read, or refused with its line, whatever stands in them.

use proptest::prelude::*;
use spurdrum_standin::scenario::Scenario;

const SOUND: &str = "seed = 3\ntrack = 9\n[[servers]]\nname = \"s\"\ncount = 2\ncores = 4\nwork_ms = 1.5\nwork = \"lognormal\"\n\
                     [catalog]\ndelay_ms = 5\n[[fault]]\non = \"s1\"\nkind = \"slow\"\nfactor = 2\nat_s = 1\nfor_s = 2\n";

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_spoilt_scenario_is_read_or_refused_with_a_line(
        at in 0..SOUND.len(),
        gone in 0..20_usize,
        put in "[-a-z0-9=.\"\\[\\]{} \n]{0,12}",
    ) {
        let end = (at + gone).min(SOUND.len());
        let text = format!("{}{put}{}", &SOUND[..at], &SOUND[end..]);
        if let Err(why) = Scenario::parse(&text) {
            let line = why.split(':').next().and_then(|line| line.parse::<usize>().ok());
            prop_assert!(line.is_some_and(|line| line <= text.lines().count() + 1), "{why}");
        }
    }
}
