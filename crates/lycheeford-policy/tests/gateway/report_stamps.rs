//! Which reports of this host another host has answered.

use lycheeford_policy::{Confirmation, ReportStamp, TimeMs};

use crate::world::at;

struct AnswerCase {
    what: &'static str,
    /// The stamp of the process that sent the report, when it started and when it sent.
    incarnation: u64,
    started_ms: u64,
    sent_ms: u64,
    /// When the current process, which started at 100 ms, gets the answer, and what it takes from
    /// it.
    now_ms: u64,
    own_ms: Option<u64>,
}

const INCARNATION: u64 = 0x1234_5678_9abc_def0;
const EARLIER: u64 = 0x0fed_cba9_8765_4321;

/// Regression test (review case 1): after a loss of power the clock of a machine starts anew. The time
/// of a report of its earlier process then lay in the future, and the answer to it confirmed the
/// declaration until then, also with keys that had been withdrawn.
#[test]
fn an_answer_to_an_earlier_process_confirms_nothing() {
    let base = AnswerCase {
        what: "",
        incarnation: INCARNATION,
        started_ms: 100,
        sent_ms: 400,
        now_ms: 500,
        own_ms: Some(400),
    };
    let cases = [
        AnswerCase { what: "the last report", ..base },
        AnswerCase { what: "a report that was sent just now", now_ms: 400, ..base },
        AnswerCase {
            what: "a report before a loss of power, with a greater time",
            incarnation: EARLIER,
            started_ms: 0,
            sent_ms: 60_000,
            own_ms: None,
            ..base
        },
        AnswerCase {
            what: "a report before a loss of power, with a time within this life",
            incarnation: EARLIER,
            started_ms: 0,
            sent_ms: 300,
            own_ms: None,
            ..base
        },
        AnswerCase {
            what: "a report of a process before a restart, whose clock went on",
            incarnation: EARLIER,
            started_ms: 0,
            sent_ms: 90,
            own_ms: None,
            ..base
        },
    ];
    let stamp = ReportStamp::new(at(100), INCARNATION);
    for case in cases {
        let sender = ReportStamp::new(at(case.started_ms), case.incarnation);
        let echo = sender.mark(at(case.sent_ms));
        let own_time = stamp.own_time(at(case.now_ms), echo);
        assert_eq!(own_time, case.own_ms.map(TimeMs::from_ms), "{}", case.what);
        let mut confirmation = Confirmation::default();
        if let Some(sent_at) = own_time {
            confirmation.confirm(7, sent_at);
        }
        let later = at(case.now_ms + 10_000);
        assert!(!confirmation.confirms(7, 3_500, later), "{}", case.what);
    }
}
