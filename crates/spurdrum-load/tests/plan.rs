//! What is read from files is read, or refused with its line, whatever stands in them.

use proptest::prelude::*;
use spurdrum_load::plan::Plan;

const SOUND: &str = "[[phase]]\nfor_s = 4\nshape = \"wave\"\nrate = 200\nswing = 0.5\nperiod_s = 2\n[[class]]\nname = \"u\"\n\
                     effect = \"keyed\"\naim_s = 0.4\ndeadline_s = 1\nbytes = [4, 4]\n[clients]\nretries = 2\n";

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_spoilt_plan_is_read_or_refused_with_a_line(
        at in 0..SOUND.len(),
        gone in 0..20_usize,
        put in "[-a-z0-9=.\"\\[\\]{} \n]{0,12}",
    ) {
        let end = (at + gone).min(SOUND.len());
        let text = format!("{}{put}{}", &SOUND[..at], &SOUND[end..]);
        if let Err(why) = Plan::parse(&text) {
            let line = why.split(':').next().and_then(|line| line.parse::<usize>().ok());
            prop_assert!(line.is_some_and(|line| line <= text.lines().count() + 1), "{why}");
        }
    }
}
