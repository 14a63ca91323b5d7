//! Numbers that a seed fixes, as far as threads take them in one order.

use std::sync::atomic::{AtomicU64, Ordering};

static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);

pub fn seed(seed: u64) {
    STATE.store(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1, Ordering::SeqCst);
}

/// Returns a number below `bound`.
pub fn below(bound: u64) -> u64 {
    let state = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    let mut mixed = state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % bound.max(1)
}
