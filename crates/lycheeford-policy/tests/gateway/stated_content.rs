//! What an answer states of its body.

use lycheeford_policy::StatedContent;

#[test]
fn only_event_streams_are_stated_as_such() {
    struct Case {
        headers: &'static [(&'static str, &'static str)],
        stated: StatedContent,
    }
    let cases = [
        Case { headers: &[], stated: StatedContent::Unstated },
        Case { headers: &[("x-content-type", "text/html")], stated: StatedContent::Unstated },
        Case { headers: &[("content-type", "text/event-stream")], stated: StatedContent::Events },
        Case {
            headers: &[("x", "y"), ("content-type", " Text/Event-Stream ;charset=utf-8")],
            stated: StatedContent::Events,
        },
        Case { headers: &[("content-type", "application/json")], stated: StatedContent::Other },
        Case { headers: &[("content-type", "text/event-streams")], stated: StatedContent::Other },
        Case { headers: &[("content-type", "")], stated: StatedContent::Other },
    ];
    for Case { headers, stated } in cases {
        let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
        let owned: Vec<_> = headers.iter().map(owned).collect();
        assert_eq!(StatedContent::of(&owned), stated, "{headers:?}");
    }
}
