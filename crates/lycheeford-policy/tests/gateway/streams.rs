//! Only whole events are passed on, wherever the stream of bytes is split.

use lycheeford_policy::{EVENT_BYTES_MAX, EventBoundary};
use proptest::prelude::*;

struct EventCase {
    input: &'static [u8],
    whole: &'static [u8],
    last_id: Option<&'static str>,
    /// The number of whole events that aren't only comments.
    events: u64,
}

#[test]
fn only_whole_events_pass() {
    let cases = [
        EventCase { input: b"", whole: b"", last_id: None, events: 0 },
        EventCase { input: b"id: 1\ndata: a\n", whole: b"", last_id: None, events: 0 },
        EventCase {
            input: b"id: 1\ndata: a\n\n",
            whole: b"id: 1\ndata: a\n\n",
            last_id: Some("1"),
            events: 1,
        },
        EventCase {
            input: b"id:7\r\ndata: a\r\n\r\nid: 8\r\nda",
            whole: b"id:7\r\ndata: a\r\n\r\n",
            last_id: Some("7"),
            events: 1,
        },
        EventCase { input: b": note\n\n", whole: b": note\n\n", last_id: None, events: 0 },
        EventCase {
            input: b": note\ndata: a\n\n: note\n\ndata: b\n\n",
            whole: b": note\ndata: a\n\n: note\n\ndata: b\n\n",
            last_id: None,
            events: 2,
        },
    ];
    for case in cases {
        let mut boundary = EventBoundary::default();
        let whole = boundary.push(case.input);
        assert_eq!(whole, case.whole);
        assert_eq!(boundary.last_id(), case.last_id);
        assert_eq!(boundary.events(), case.events);
        let rest = boundary.take_rest();
        assert_eq!([whole, rest].concat(), case.input, "no byte is changed or lost");
    }
}

proptest! {
    #[test]
    fn splits_of_the_input_do_not_change_the_output(
        events in prop::collection::vec("[a-z ]{0,12}", 1..12),
        splits in prop::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let mut stream = Vec::new();
        for (id, data) in events.iter().enumerate() {
            stream.extend_from_slice(format!("id: {id}\ndata: {data}\n\n").as_bytes());
        }
        let mut points: Vec<usize> = splits.iter().map(|split| split.index(stream.len())).collect();
        points.extend([0, stream.len()]);
        points.sort_unstable();
        let mut boundary = EventBoundary::default();
        let mut passed = Vec::new();
        for pair in points.windows(2) {
            let whole = boundary.push(&stream[pair[0]..pair[1]]);
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            passed.extend(whole);
        }
        prop_assert_eq!(passed, stream);
        let last_id = (events.len() - 1).to_string();
        prop_assert_eq!(boundary.last_id(), Some(last_id.as_str()));
        prop_assert_eq!(boundary.events(), events.len() as u64);
    }
}

/// Guards against an endless event, which fills the memory of the host, and against endless
/// comments, which keep a stalled stream open.
#[test]
fn a_stream_in_which_no_event_ends_is_endless() {
    struct Case {
        what: &'static str,
        repeated: &'static str,
        is_endless: bool,
    }
    let cases = [
        Case { what: "one line", repeated: "ice", is_endless: true },
        Case { what: "lines of one event", repeated: "data: ice\n", is_endless: true },
        Case { what: "comments", repeated: ": ice\n\n", is_endless: true },
        Case { what: "empty lines", repeated: "\n", is_endless: true },
        Case { what: "events", repeated: "data: ice\n\n", is_endless: false },
        Case {
            what: "events with comments",
            repeated: ": ice\n\ndata: ice\n\n",
            is_endless: false,
        },
    ];
    for Case { what, repeated, is_endless } in cases {
        let mut boundary = EventBoundary::default();
        let piece = repeated.repeat(EVENT_BYTES_MAX / repeated.len() / 4);
        for _ in 0..6 {
            boundary.push(piece.as_bytes());
        }
        assert_eq!(boundary.is_endless(), is_endless, "{what}");
        // The count starts again when another target continues the stream.
        boundary.take_rest();
        assert!(!boundary.is_endless(), "{what}");
    }
}

#[test]
fn bytes_of_a_comment_are_inside_no_event() {
    struct Case {
        what: &'static str,
        bytes: &'static str,
        is_inside_event: bool,
    }
    let cases = [
        Case { what: "nothing", bytes: "", is_inside_event: false },
        Case { what: "a whole event", bytes: "id: 1\ndata: ice\n\n", is_inside_event: false },
        Case { what: "a comment", bytes: "data: ice\n\n: ice\n", is_inside_event: false },
        Case { what: "a part of a comment", bytes: "data: ice\n\n: i", is_inside_event: false },
        Case { what: "a whole line", bytes: "data: ice\n\nid: 2\n", is_inside_event: true },
        Case { what: "a part of a line", bytes: "data: ice\n\nda", is_inside_event: true },
        Case { what: "a comment in an event", bytes: "id: 2\n: ice", is_inside_event: true },
    ];
    for Case { what, bytes, is_inside_event } in cases {
        let mut boundary = EventBoundary::default();
        boundary.push(bytes.as_bytes());
        assert_eq!(boundary.is_inside_event(), is_inside_event, "{what}");
    }
}

#[test]
fn a_stream_goes_on_only_after_an_event_with_an_id() {
    struct Case {
        what: &'static str,
        bytes: &'static str,
        is_resumable: bool,
    }
    let cases = [
        Case { what: "nothing", bytes: "", is_resumable: true },
        Case { what: "a part of an event", bytes: "data: ice\n", is_resumable: true },
        Case { what: "an event with an id", bytes: "id: 1\ndata: ice\n\n", is_resumable: true },
        Case { what: "an event without an id", bytes: "data: ice\n\n", is_resumable: false },
        Case { what: "an empty id", bytes: "id:\ndata: ice\n\n", is_resumable: false },
        Case {
            what: "an event without an id after one",
            bytes: "id: 1\ndata: ice\n\ndata: ice\n\n",
            is_resumable: false,
        },
        Case {
            what: "a comment after an event with an id",
            bytes: "id: 1\ndata: ice\n\n: ice\n\n",
            is_resumable: true,
        },
    ];
    for Case { what, bytes, is_resumable } in cases {
        let mut boundary = EventBoundary::default();
        boundary.push(bytes.as_bytes());
        assert_eq!(boundary.is_resumable(), is_resumable, "{what}");
    }
}
