use lycheeford_http::Header;

const CONTENT_TYPE: &str = "content-type";
/// How every answer begins.
const START: &[u8] = b"HTTP/1.";
const STATUS_LINE_BYTES_MAX: usize = 256;
/// The part of a head in which the repeated header is looked for.
const HEAD_BYTES_MAX: usize = 2 * 1024;

/// Finds another answer within a body that ends with its connection.
///
/// A target that answers twice appends its second answer to such a body, whose own end is then
/// unknown. The second head is recognized by the request header that targets repeat, which no body
/// has behind a status line, or, if it lacks that one, by having the same headers as the first.
#[derive(Debug)]
pub(crate) struct AnswerScan {
    repeated_header: String,
    /// The names of the other headers of the answer, sorted; none if they are too common.
    names: Vec<String>,
    /// The bytes from the first one at which a head may begin.
    pending: Vec<u8>,
}

/// What the bytes at a possible start of a head are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Candidate {
    Answer,
    Incomplete,
    NoAnswer,
}

impl AnswerScan {
    /// Returns a scan of the body of an answer with `headers`, whose names are in lower case.
    pub(crate) fn new(repeated_header: String, headers: &[Header]) -> AnswerScan {
        let names = headers.iter().map(|(name, _)| name.clone());
        let mut names: Vec<String> =
            names.filter(|name| !name.eq_ignore_ascii_case(&repeated_header)).collect();
        names.sort_unstable();
        // A text about HTTP may show such a head.
        if names == [CONTENT_TYPE] {
            names.clear();
        }
        AnswerScan { repeated_header, names, pending: Vec::new() }
    }

    /// Adds the next bytes of the body and returns whether they reveal another answer.
    pub(crate) fn finds_answer(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        let mut scanned_bytes = 0;
        while let Some(offset) = next_start(&self.pending[scanned_bytes..]) {
            let start = scanned_bytes + offset;
            match self.candidate(&self.pending[start..]) {
                Candidate::Answer => return true,
                Candidate::Incomplete => {
                    self.pending.drain(..start);
                    return false;
                }
                Candidate::NoAnswer => scanned_bytes = start + 1,
            }
        }
        self.pending.clear();
        false
    }

    fn candidate(&self, bytes: &[u8]) -> Candidate {
        let head = &bytes[..bytes.len().min(HEAD_BYTES_MAX)];
        let mut lines = head.split_inclusive(|byte| *byte == b'\n');
        let status_line = lines.next().unwrap_or_default();
        if !may_be_status_line(status_line) {
            return Candidate::NoAnswer;
        }
        let mut names = Vec::new();
        for line in lines {
            if !line.ends_with(b"\n") {
                break;
            }
            if line == b"\r\n" {
                names.sort_unstable();
                let is_same = !names.is_empty() && names == self.names;
                return if is_same { Candidate::Answer } else { Candidate::NoAnswer };
            }
            let Some(colon) = line.iter().position(|byte| *byte == b':') else {
                return Candidate::NoAnswer;
            };
            if line[..colon].eq_ignore_ascii_case(self.repeated_header.as_bytes()) {
                return Candidate::Answer;
            }
            names.push(String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase());
        }
        if bytes.len() < HEAD_BYTES_MAX { Candidate::Incomplete } else { Candidate::NoAnswer }
    }
}

/// Returns where [`START`], or at the end a part of it, is next.
fn next_start(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find(|&index| {
        let length_bytes = START.len().min(bytes.len() - index);
        bytes[index..].starts_with(&START[..length_bytes])
    })
}

/// Returns whether a line, whose end may be missing, is a status line, such as `HTTP/1.1 200 OK`.
fn may_be_status_line(line: &[u8]) -> bool {
    let mut expected = START.iter().copied().map(Some).chain([None, Some(b' '), None, None, None]);
    let is_expected = |byte: &u8| match expected.next() {
        Some(Some(expected)) => *byte == expected,
        Some(None) => byte.is_ascii_digit(),
        None => true,
    };
    let is_too_long = line.len() > STATUS_LINE_BYTES_MAX;
    let is_too_short = line.ends_with(b"\n") && line.len() <= START.len() + 5;
    !is_too_long && !is_too_short && line.iter().all(is_expected)
}
