use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::args::{Trace, WhyRefused};
use crate::failure::{Exit, Failure};
use crate::output;

/// Events of a host that can explain what happened to the requests that it served at the time.
const HOST_EVENTS: [&str; 17] = [
    "started",
    "draining",
    "ended",
    "orders_held",
    "lease_unread",
    "lease_unwritten",
    "hosts_unlisted",
    "store_lost",
    "store_regained",
    "host_unregistered",
    "declaration_adopted",
    "declaration_unreadable",
    "target_gone",
    "targets_listed",
    "target_leaves",
    "target_limits",
    "target_pauses",
];
/// The events that end a request.
const END_EVENTS: [&str; 5] =
    ["answered", "refused", "stream_cut", "caller_left", "request_panicked"];
/// Fields that are left out of a line's details, because all lines have them or `trace` prints
/// them separately.
const COMMON_FIELDS: [&str; 6] = ["msg", "level", "ts", "host", "id", "version"];
const MS_PER_DAY: u64 = 24 * 60 * 60 * 1_000;

/// A line of a gateway's log.
#[derive(Debug, Clone)]
struct LogLine {
    /// The date and time, by which lines of one host sort exactly and lines of several hosts
    /// approximately.
    ts: String,
    host: String,
    event: String,
    id: Option<String>,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, which may have a prefix that a log collector added.
    fn parse(text: &str) -> Option<LogLine> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let field = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
        Some(LogLine {
            ts: field("ts")?,
            host: field("host")?,
            event: field("msg")?,
            id: field("id"),
            fields,
        })
    }

    /// Formats the fields that are specific to the event.
    fn details(&self) -> String {
        let details =
            self.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let details: Vec<String> = details.map(|(name, value)| format!("{name}={value}")).collect();
        details.join(" ")
    }

    /// Returns the time of day in milliseconds, for time differences within a request.
    fn time_of_day_ms(&self) -> Option<u64> {
        let time = self.ts.split_once('T')?.1.trim_end_matches('Z');
        let mut parts = time.split(':');
        let hours: u64 = parts.next()?.parse().ok()?;
        let minutes: u64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as u64)
    }
}

/// Prints the log lines of one request, and the host events around it, in order of time.
pub(crate) fn trace(command: &Trace) -> Result<(), Failure> {
    let lines = read_all(&command.log)?;
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.id.as_deref() == Some(&command.id)).collect();
    let Some(last) = request_lines.last() else {
        let message = format!(
            "no line about {}; give the logs of all hosts, and check whether lines are missing",
            command.id
        );
        return Err(Failure::new(Exit::Refused, message));
    };
    // A missing time counts as midnight and a missing duration as 0, so few host events are shown.
    let last_ms = last.time_of_day_ms().unwrap_or_default();
    let total_ms = last.fields.get("total_ms").and_then(Value::as_u64).unwrap_or_default();
    let hosts: Vec<&str> = request_lines.iter().map(|line| line.host.as_str()).collect();
    let is_related_host_event = |line: &LogLine| {
        let since_ms =
            (last_ms + MS_PER_DAY).saturating_sub(line.time_of_day_ms().unwrap_or_default());
        hosts.contains(&line.host.as_str())
            && HOST_EVENTS.contains(&line.event.as_str())
            && since_ms % MS_PER_DAY <= total_ms + 1_000
    };
    for line in &lines {
        if line.id.as_deref() == Some(&command.id) {
            output::print(&format!(
                "{} {} {} {}\n",
                line.ts,
                line.host,
                line.event,
                line.details()
            ));
        } else if is_related_host_event(line) {
            output::print(&format!(
                "{} {}   meanwhile {} {}\n",
                line.ts,
                line.host,
                line.event,
                line.details()
            ));
        }
    }
    let ending = request_lines.iter().rev().find(|line| END_EVENTS.contains(&line.event.as_str()));
    output::print(&match ending {
        Some(line) => format!("ended after {total_ms} ms: {}\n", describe_end(line)),
        None => "no end is on record: the host died, or lines were left out\n".to_owned(),
    });
    Ok(())
}

/// Counts refused requests and aborted streams by cause.
pub(crate) fn why_refused(command: &WhyRefused) -> Result<(), Failure> {
    let mut counts: Vec<(String, u64)> = Vec::new();
    for line in read_all(&command.log)? {
        if !matches!(line.event.as_str(), "refused" | "stream_cut") {
            continue;
        }
        let cause = describe_end(&line);
        match counts.iter_mut().find(|(known, _)| *known == cause) {
            Some((_, count)) => *count += 1,
            None => counts.push((cause, 1)),
        }
    }
    counts.sort_by(|left, right| (right.1, &left.0).cmp(&(left.1, &right.0)));
    for (cause, count) in counts {
        output::print(&format!("{count:>8} {cause}\n"));
    }
    Ok(())
}

/// Describes how a request ended.
fn describe_end(line: &LogLine) -> String {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("unknown");
    let customer = line.fields.get("customer").and_then(Value::as_str);
    let customer = customer.map(|name| format!(" of {name}")).unwrap_or_default();
    match line.event.as_str() {
        "refused" => {
            format!("refused{customer}: {}: {} ({})", text("code"), text("message"), text("ran"))
        }
        "stream_cut" => format!("cut{customer}: {}", text("cause")),
        "caller_left" => "the caller left before an answer".to_owned(),
        "request_panicked" => "its handling panicked; see the host's standard error".to_owned(),
        _ => format!("answered by {}", text("target")),
    }
}

/// Reads the lines of all logs, sorted by time.
fn read_all(logs: &[PathBuf]) -> Result<Vec<LogLine>, Failure> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        read_into(&mut lines, io::stdin().lock(), Path::new("standard input"))?;
    }
    for path in logs {
        let file = File::open(path).map_err(|error| unreadable(path, &error))?;
        read_into(&mut lines, BufReader::new(file), path)?;
    }
    lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    Ok(lines)
}

fn read_into(lines: &mut Vec<LogLine>, reader: impl BufRead, path: &Path) -> Result<(), Failure> {
    for text in reader.lines() {
        let text = text.map_err(|error| unreadable(path, &error))?;
        // Lines that can't be parsed are skipped, as logs also contain lines of other programs.
        lines.extend(LogLine::parse(&text));
    }
    Ok(())
}

fn unreadable(path: &Path, error: &io::Error) -> Failure {
    let message = format!("{}: {error}; give readable logs with --log", path.display());
    Failure::new(Exit::Usage, message)
}
