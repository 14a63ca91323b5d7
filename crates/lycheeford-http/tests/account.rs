//! The account of memory: which reservations it refuses, which reader it closes, and that bytes come
//! back as they are read.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use async_std::task;
use futures_util::FutureExt;
use futures_util::io::AsyncReadExt;
use lycheeford_http::{HeldBytes, MemoryAccount, Pieces, SharedBody};

const TOTAL_BYTES: usize = 800_000;
const SOON: Duration = Duration::from_millis(100);
/// Longer than a reader must have been behind before it may be closed.
const BEHIND: Duration = Duration::from_millis(600);

/// Guards against large bodies that keep small requests from being served, and against an account
/// that is overdrawn.
#[test]
fn large_reservations_leave_room_for_small_ones() {
    struct Case {
        name: &'static str,
        held_bytes: usize,
        more_bytes: usize,
        has_room: bool,
    }
    let cases = [
        Case { name: "all that is for large", held_bytes: 0, more_bytes: 700_000, has_room: true },
        Case { name: "one byte more", held_bytes: 0, more_bytes: 700_001, has_room: false },
        Case { name: "a small one", held_bytes: 700_000, more_bytes: 65_536, has_room: true },
        Case { name: "not as small", held_bytes: 700_000, more_bytes: 65_537, has_room: false },
        Case { name: "the last", held_bytes: 750_000, more_bytes: 50_000, has_room: true },
        Case { name: "beyond the last", held_bytes: 750_000, more_bytes: 50_001, has_room: false },
        Case { name: "nothing", held_bytes: 800_000, more_bytes: 0, has_room: true },
        Case { name: "too much to add", held_bytes: 1, more_bytes: usize::MAX, has_room: false },
    ];
    for Case { name, held_bytes, more_bytes, has_room } in cases {
        let account = MemoryAccount::new(TOTAL_BYTES);
        let others: Vec<_> = (0..held_bytes / 50_000)
            .map(|_| {
                let mut other = account.reservation();
                other.grow(50_000).unwrap();
                other
            })
            .collect();
        let mut rest = account.reservation();
        rest.grow(held_bytes % 50_000).unwrap();
        let mut more = account.reservation();
        assert_eq!(more.grow(more_bytes).is_ok(), has_room, "{name}");
        let expected_bytes = held_bytes + if has_room { more_bytes } else { 0 };
        assert_eq!(account.held_bytes(), expected_bytes, "{name}");
        drop((others, rest, more));
        assert_eq!(account.held_bytes(), 0, "{name}");
    }
}

#[test]
fn the_slowest_reader_is_closed_when_there_is_no_room() {
    #[derive(Clone, Copy)]
    struct Reader {
        unread_bytes: usize,
        read_bytes: usize,
        has_caught_up: bool,
    }
    struct Case {
        name: &'static str,
        readers: Vec<Reader>,
        behind: Duration,
        closed: Option<usize>,
    }
    let slow = Reader { unread_bytes: 100_000, read_bytes: 1_000, has_caught_up: false };
    let slowest = Reader { unread_bytes: 100_000, read_bytes: 100, has_caught_up: false };
    let fast = Reader { unread_bytes: 100_000, read_bytes: 100_000, has_caught_up: false };
    let waiting = Reader { has_caught_up: true, ..slowest };
    let elsewhere = Reader { unread_bytes: 0, ..slowest };
    let cases = [
        Case {
            name: "the slowest of two",
            readers: vec![slow, slowest],
            behind: BEHIND,
            closed: Some(1),
        },
        Case { name: "only fast ones", readers: vec![fast], behind: BEHIND, closed: None },
        Case {
            name: "one whose stream pauses",
            readers: vec![waiting, slow],
            behind: BEHIND,
            closed: Some(1),
        },
        Case {
            name: "one without bytes in the account",
            readers: vec![elsewhere],
            behind: BEHIND,
            closed: None,
        },
        Case {
            name: "one that has just begun",
            readers: vec![slowest],
            behind: Duration::ZERO,
            closed: None,
        },
    ];
    for Case { name, readers, behind, closed } in cases {
        let account = MemoryAccount::new(TOTAL_BYTES);
        let registered: Vec<_> = readers
            .iter()
            .map(|reader| {
                let registered =
                    account.register_reader(&Arc::new(AtomicUsize::new(reader.unread_bytes)));
                registered.has_read(reader.read_bytes);
                if reader.has_caught_up {
                    registered.has_caught_up();
                }
                registered
            })
            .collect();
        std::thread::sleep(behind);
        let mut all = account.reservation();
        all.grow(700_000).unwrap();
        let grown = task::block_on(account.reservation().grow_within(100_000, SOON));
        assert!(grown.is_err(), "{name}");
        let index = registered.iter().position(|reader| reader.closed().now_or_never().is_some());
        assert_eq!(index, closed, "{name}");
        if let Some(index) = index {
            let state = registered[index].state();
            assert_eq!((state.held_bytes, state.total_bytes), (700_000, TOTAL_BYTES), "{name}");
            assert!(state.unread_ms >= 600, "{name}: {state:?}");
            // It isn't closed if it turns out to have read everything.
            registered[index].has_caught_up();
            assert!(registered[index].closed().now_or_never().is_none(), "{name}");
        }
    }
}

#[test]
fn a_reservation_waits_for_room() {
    let account = MemoryAccount::new(TOTAL_BYTES);
    let mut first = account.reservation();
    first.grow(700_000).unwrap();
    let waited = task::block_on(async {
        let free = async {
            task::sleep(SOON).await;
            drop(first);
        };
        let mut second = account.reservation();
        let growing = second.grow_within(700_000, 10 * SOON);
        futures_util::join!(free, growing).1
    });
    assert!(waited.is_ok_and(|waited| waited >= SOON), "{waited:?}");
}

#[test]
fn bytes_come_back_as_they_are_read_however_they_were_added() {
    let whole: Vec<u8> = (0..300_000_u32).map(|number| (number % 251) as u8).collect();
    for push_bytes in [1_000, 8_192, 65_536, 300_000] {
        let account = MemoryAccount::new(TOTAL_BYTES);
        let mut held = HeldBytes::new(account.reservation());
        let mut pieces = Pieces::default();
        task::block_on(async {
            for bytes in whole.chunks(push_bytes) {
                held.push(bytes, SOON).await.unwrap();
                pieces.push(bytes);
            }
            assert_eq!(held.pieces(), &pieces, "{push_bytes}");
            assert_eq!(account.held_bytes(), whole.len(), "{push_bytes}");
            let mut read = vec![0; 100_000];
            held.read_exact(&mut read).await.unwrap();
            // Pieces that were read in part are still held.
            let held_bytes = account.held_bytes();
            assert!((200_000..=265_536).contains(&held_bytes), "{push_bytes}: {held_bytes}");
            held.read_to_end(&mut read).await.unwrap();
            assert!(read == whole, "{push_bytes}");
            assert_eq!(account.held_bytes(), 0, "{push_bytes}");
            let shared = SharedBody::from(pieces);
            let (mut first, mut second) = (Vec::new(), Vec::new());
            shared.reader().read_to_end(&mut first).await.unwrap();
            shared.reader().read_to_end(&mut second).await.unwrap();
            assert!(first == whole && second == whole && shared.into_vec() == whole);
        });
    }
}
