use crate::error::{Code, malformed};
use crate::{Error, Framing};

/// The longest line with a chunk's size.
const SIZE_LINE_BYTES_MAX: usize = 256;
/// The longest trailer section.
const TRAILERS_BYTES_MAX: usize = 4096;
const TRAILERS_MAX: usize = 32;

/// Takes the bytes of one body off a stream and tells where it ends.
///
/// The result doesn't depend on where the stream was cut into pieces. Chunk
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

    /// Returns whether the whole body was decoded.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Decodes as much of `input` as belongs to the body, appends it to
    /// `output`, and returns how many bytes of `input` that took.
    ///
    /// # Errors
    ///
    /// Fails if the chunk framing is malformed; the stream is unusable then.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, Error> {
        let mut used_bytes = 0;
        while used_bytes < input.len() && !self.is_complete() {
            used_bytes += self.step(&input[used_bytes..], output)?;
        }
        Ok(used_bytes)
    }

    /// Takes in that the stream ended in order, not by a reset.
    ///
    /// # Errors
    ///
    /// Fails if the body has a declared end that wasn't reached.
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
                let taken = take(input, remaining_bytes, output);
                self.state = match remaining_bytes - taken as u64 {
                    0 => State::Complete,
                    remaining_bytes => State::Fixed { remaining_bytes },
                };
                Ok(taken)
            }
            State::ChunkData { remaining_bytes } => {
                let taken = take(input, remaining_bytes, output);
                self.state = match remaining_bytes - taken as u64 {
                    0 => State::ChunkEnd,
                    remaining_bytes => State::ChunkData { remaining_bytes },
                };
                Ok(taken)
            }
            State::UntilClose => Ok(take(input, u64::MAX, output)),
            State::ChunkSize | State::ChunkEnd | State::Trailers => self.step_line(input),
            State::Complete => Ok(0),
        }
    }

    fn step_line(&mut self, input: &[u8]) -> Result<usize, Error> {
        let (piece, is_whole) = match input.iter().position(|&byte| byte == b'\n') {
            Some(index) => (&input[..=index], true),
            None => (input, false),
        };
        self.extend_line(piece)?;
        if is_whole {
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
            return Err(malformed("a line of chunk framing doesn't end with CR LF; end it so"));
        }
        match self.state {
            State::ChunkSize => self.state = after_size(&self.line)?,
            State::Trailers if !ends_trailers(&self.line) => return Ok(()),
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

fn take(input: &[u8], remaining_bytes: u64, output: &mut Vec<u8>) -> usize {
    let taken = usize::try_from(remaining_bytes).unwrap_or(usize::MAX).min(input.len());
    output.extend_from_slice(&input[..taken]);
    taken
}

fn after_size(line: &[u8]) -> Result<State, Error> {
    const WHAT: &str = "a chunk size isn't a hexadecimal number; send one";
    // httparse takes a line without digits for the size zero.
    if !line[0].is_ascii_hexdigit() {
        return Err(malformed(WHAT));
    }
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, 0))) => Ok(State::Trailers),
        Ok(httparse::Status::Complete((_, remaining_bytes))) => {
            Ok(State::ChunkData { remaining_bytes })
        }
        _ => Err(malformed(WHAT)),
    }
}

fn ends_trailers(lines: &[u8]) -> bool {
    lines == b"\r\n" || lines.ends_with(b"\r\n\r\n")
}

fn check_trailers(lines: &[u8]) -> Result<(), Error> {
    let mut slots = [httparse::EMPTY_HEADER; TRAILERS_MAX];
    match httparse::parse_headers(lines, &mut slots) {
        Ok(httparse::Status::Complete((length_bytes, _))) if length_bytes == lines.len() => Ok(()),
        _ => Err(malformed("a trailer is malformed; send none")),
    }
}
