//! Decoding of bodies, also when the stream is split at any place.

use async_std::io::Cursor;
use async_std::task;
use lycheeford_http::{BodyDecoder, Category, Framing, MessageReader};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

struct Case {
    input: &'static [u8],
    expected: Result<(&'static [u8], usize), Category>,
}

#[test]
fn chunked_bodies() {
    let cases = [
        Case { input: b"3\r\nice\r\n0\r\n\r\n", expected: Ok((b"ice", 0)) },
        Case {
            input: b"A;x=y\r\n0123456789\r\n00\r\nt: v\r\n\r\nGET",
            expected: Ok((b"0123456789", 3)),
        },
        Case { input: b"1\r\na\r\n", expected: Err(Category::Truncated) },
        Case { input: b"0\r\n\r", expected: Err(Category::Truncated) },
        Case { input: b"\r\n\r\n", expected: Err(Category::Malformed) },
        Case { input: b"-1\r\na\r\n0\r\n\r\n", expected: Err(Category::Malformed) },
        Case { input: b"0x1\r\na\r\n0\r\n\r\n", expected: Err(Category::Malformed) },
        Case { input: b" 1\r\na\r\n0\r\n\r\n", expected: Err(Category::Malformed) },
        Case { input: b"1\na\n0\n\n", expected: Err(Category::Malformed) },
        Case { input: b"1;x\ny\r\na\r\n0\r\n\r\n", expected: Err(Category::Malformed) },
        Case { input: b"2\r\nabc\r\n0\r\n\r\n", expected: Err(Category::Malformed) },
        Case { input: b"fffffffffffffffff\r\n", expected: Err(Category::Malformed) },
        Case { input: b"0\r\nbad trailer\r\n\r\n", expected: Err(Category::Malformed) },
        Case { input: &[b'1'; 300], expected: Err(Category::TooLarge) },
    ];
    for case in cases {
        let name = String::from_utf8_lossy(case.input).into_owned();
        let decoded = read_body(case.input, Framing::Chunked);
        let expected = case.expected.map(|(body, surplus)| (body.to_vec(), surplus));
        assert_eq!(decoded, expected, "{name}");
    }
}

fn read_body(input: &[u8], framing: Framing) -> Result<(Vec<u8>, usize), Category> {
    task::block_on(async {
        let mut reader = MessageReader::new(Cursor::new(input.to_vec()));
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        while let Some(chunk) =
            reader.body_chunk(&mut decoder).await.map_err(|error| error.category())?
        {
            body.extend(chunk);
        }
        Ok((body, reader.buffered_bytes()))
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_body_doesnt_depend_on_how_the_stream_is_split(
        pieces in prop::collection::vec(prop::sample::select(PIECES.to_vec()), 0..16),
        split_sizes in prop::collection::vec(1_usize..5, 1..8),
        fixed_bytes in prop::option::of(0_u64..24),
    ) {
        let input = pieces.concat();
        let framing = fixed_bytes.map_or(Framing::Chunked, Framing::Length);
        let whole = decode(framing, std::iter::once(input.as_slice()));
        let mut rest = input.as_slice();
        let mut sizes = split_sizes.iter().cycle();
        let pieces = std::iter::from_fn(|| {
            let length = (*sizes.next()?).min(rest.len());
            let (piece, after) = rest.split_at(length);
            rest = after;
            (!piece.is_empty()).then_some(piece)
        });
        prop_assert_eq!(decode(framing, pieces), whole);
    }
}

type Decoded = (Vec<u8>, usize, bool, Option<Category>);

fn decode<'a>(framing: Framing, pieces: impl Iterator<Item = &'a [u8]>) -> Decoded {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    let mut used_bytes = 0;
    for piece in pieces {
        match decoder.decode(piece, &mut body) {
            Ok(used) => used_bytes += used,
            Err(error) => return (Vec::new(), 0, false, Some(error.category())),
        }
    }
    (body, used_bytes, decoder.is_complete(), None)
}

const PIECES: [&[u8]; 10] =
    [b"3\r\nice\r\n", b"0\r\n", b"\r\n", b"t: v\r\n", b"1", b"\r", b"\n", b";x", b"a", b"\xff"];
