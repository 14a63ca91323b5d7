//! Which answers of a store are admitted, by the era that they state.

use lycheeford_platform::{Category, EraGate};

struct EraCase {
    what: &'static str,
    /// What the answers state, one after the other.
    stated: &'static [Option<&'static str>],
    /// The era of the last answer, or `None` if it is rejected.
    admitted: Option<u64>,
    newest: u64,
}

#[test]
fn answers_of_an_earlier_era_are_rejected() {
    let cases = [
        EraCase { what: "no era ever", stated: &[None, None], admitted: Some(1), newest: 1 },
        EraCase { what: "never restored", stated: &[Some("0")], admitted: Some(1), newest: 1 },
        EraCase { what: "restored once", stated: &[Some("1")], admitted: Some(2), newest: 2 },
        EraCase {
            what: "a later era after none",
            stated: &[None, Some("3")],
            admitted: Some(4),
            newest: 4,
        },
        EraCase {
            what: "the first restore",
            stated: &[Some("0"), Some("1")],
            admitted: Some(2),
            newest: 2,
        },
        EraCase {
            what: "a late answer",
            stated: &[Some("2"), Some("1")],
            admitted: None,
            newest: 3,
        },
        EraCase { what: "a missing era", stated: &[Some("2"), None], admitted: None, newest: 3 },
        EraCase { what: "no number", stated: &[Some("2"), Some("two")], admitted: None, newest: 3 },
        EraCase { what: "a negative number", stated: &[Some("-1")], admitted: None, newest: 1 },
        EraCase {
            what: "the greatest number",
            stated: &[Some("18446744073709551615")],
            admitted: None,
            newest: 1,
        },
        EraCase {
            what: "goes on after a rejection",
            stated: &[Some("2"), None, Some("2")],
            admitted: Some(3),
            newest: 3,
        },
    ];
    for case in cases {
        let gate = EraGate::default();
        let answers = case.stated.iter().map(|stated| gate.admit(*stated));
        let last = answers.last().expect("an answer");
        match last {
            Ok(era) => assert_eq!(Some(era), case.admitted, "{}", case.what),
            Err(error) => {
                assert_eq!(case.admitted, None, "{}: {error}", case.what);
                assert_eq!(error.category(), Category::Unavailable, "{}", case.what);
            }
        }
        assert_eq!(gate.newest(), case.newest, "{}", case.what);
    }
}
