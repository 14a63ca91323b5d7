use crate::error::{Code, malformed};
use crate::{Error, Framing};

/// The longest line with the size of a chunk, including its extensions.
const SIZE_LINE_BYTES_MAX: usize = 256;
/// The longest trailer section.
const TRAILERS_BYTES_MAX: usize = 4096;
const TRAILERS_MAX: usize = 32;

/// Decodes one body from the bytes of a stream and detects its end.
///
/// The result doesn't depend on how the stream is split into pieces. Chunk
/// extensions and trailers are checked and dropped.
///
/// ```
/// use lycheeford_http::{BodyDecoder, Framing};
///
/// let mut decoder = BodyDecoder::new(Framing::Chunked);
/// let mut body = Vec::new();
/// let used = decoder.decode(b"3\r\nice\r\n0\r\n\r\nGET", &mut body)?;
/// assert!(decoder.is_complete());
/// assert_eq!((used, body.as_slice()), (13, b"ice".as_slice()));
/// # Ok::<(), lycheeford_http::Error>(())
/// ```
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    line: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Fixed { remaining_bytes: u64 },
    ChunkSize,
    ChunkData { remaining_bytes: u64 },
    ChunkEnd,
    Trailers,
    UntilClose,
    Complete,
}

impl BodyDecoder {
    /// Returns a decoder for a body with `framing`.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Complete,
            Framing::Length(remaining_bytes) => State::Fixed { remaining_bytes },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, line: Vec::new() }
    }

    /// Returns whether the body was decoded to its end.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Decodes as much of `input` as belongs to the body, appends it to
    /// `output`, and returns how many bytes of `input` were used.
    ///
    /// # Errors
    ///
    /// Fails if the chunk framing is malformed; the stream can't be used any more then.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, Error> {
        let mut used_bytes = 0;
        while used_bytes < input.len() && !self.is_complete() {
            used_bytes += self.step(&input[used_bytes..], output)?;
        }
        Ok(used_bytes)
    }

    /// Records that the stream was closed regularly, not by a reset.
    ///
    /// # Errors
    ///
    /// Fails if the framing declares an end of the body that wasn't reached.
    pub fn end_of_stream(&mut self) -> Result<(), Error> {
        match self.state {
            State::Complete => Ok(()),
            State::UntilClose => {
                self.state = State::Complete;
                Ok(())
            }
            _ => Err(Code::Truncated.into()),
        }
    }

    fn step(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, Error> {
        match self.state {
            State::Fixed { remaining_bytes } => {
                let appended_bytes = append_up_to(input, remaining_bytes, output);
                self.state = match remaining_bytes - appended_bytes as u64 {
                    0 => State::Complete,
                    remaining_bytes => State::Fixed { remaining_bytes },
                };
                Ok(appended_bytes)
            }
            State::ChunkData { remaining_bytes } => {
                let appended_bytes = append_up_to(input, remaining_bytes, output);
                self.state = match remaining_bytes - appended_bytes as u64 {
                    0 => State::ChunkEnd,
                    remaining_bytes => State::ChunkData { remaining_bytes },
                };
                Ok(appended_bytes)
            }
            State::UntilClose => Ok(append_up_to(input, u64::MAX, output)),
            State::ChunkSize | State::ChunkEnd | State::Trailers => self.step_line(input),
            State::Complete => Ok(0),
        }
    }

    fn step_line(&mut self, input: &[u8]) -> Result<usize, Error> {
        let (piece, is_complete_line) = match input.iter().position(|&byte| byte == b'\n') {
            Some(index) => (&input[..=index], true),
            None => (input, false),
        };
        self.extend_line(piece)?;
        if is_complete_line {
            self.end_line()?;
        }
        Ok(piece.len())
    }

    fn extend_line(&mut self, piece: &[u8]) -> Result<(), Error> {
        let (part, limit_bytes) = match self.state {
            State::Trailers => ("trailer section", TRAILERS_BYTES_MAX),
            _ => ("chunk size", SIZE_LINE_BYTES_MAX),
        };
        if self.line.len() + piece.len() > limit_bytes {
            return Err(Code::TooLarge { part, limit_bytes }.into());
        }
        self.line.extend_from_slice(piece);
        if self.state == State::ChunkEnd && !b"\r\n".starts_with(&self.line) {
            return Err(malformed("a chunk is longer than its size; correct the size"));
        }
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), Error> {
        if !self.line.ends_with(b"\r\n") {
            return Err(malformed(
                "a line of the chunk framing doesn't end with CR LF; end it with both",
            ));
        }
        match self.state {
            State::ChunkSize => self.state = state_after_size(&self.line)?,
            State::Trailers if !is_end_of_trailers(&self.line) => return Ok(()),
            State::Trailers => {
                check_trailers(&self.line)?;
                self.state = State::Complete;
            }
            _ => self.state = State::ChunkSize,
        }
        self.line.clear();
        Ok(())
    }
}

fn append_up_to(input: &[u8], remaining_bytes: u64, output: &mut Vec<u8>) -> usize {
    let appended_bytes = usize::try_from(remaining_bytes).unwrap_or(usize::MAX).min(input.len());
    output.extend_from_slice(&input[..appended_bytes]);
    appended_bytes
}

fn state_after_size(line: &[u8]) -> Result<State, Error> {
    const MESSAGE: &str = "a chunk size isn't a hexadecimal number; send one";
    // httparse reads a line without digits as the size zero.
    if !line[0].is_ascii_hexdigit() {
        return Err(malformed(MESSAGE));
    }
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, 0))) => Ok(State::Trailers),
        Ok(httparse::Status::Complete((_, remaining_bytes))) => {
            Ok(State::ChunkData { remaining_bytes })
        }
        _ => Err(malformed(MESSAGE)),
    }
}

fn is_end_of_trailers(lines: &[u8]) -> bool {
    lines == b"\r\n" || lines.ends_with(b"\r\n\r\n")
}

fn check_trailers(lines: &[u8]) -> Result<(), Error> {
    let mut header_buffer = [httparse::EMPTY_HEADER; TRAILERS_MAX];
    match httparse::parse_headers(lines, &mut header_buffer) {
        Ok(httparse::Status::Complete((length_bytes, _))) if length_bytes == lines.len() => Ok(()),
        _ => Err(malformed("a trailer is malformed; send none")),
    }
}
