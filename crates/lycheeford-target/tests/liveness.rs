//! How long a target may be silent on the network before its connection fails.

use lycheeford_target::{KEEP_ALIVE_INTERVAL_S, user_timeout_ms};

const INTERVAL_MS: u32 = KEEP_ALIVE_INTERVAL_S * 1_000;
const STEP_MS: u32 = 10;

/// Returns when Linux fails an idle connection with these probes and this user timeout, if the
/// other end acknowledges nothing from `silent_from_ms` for `silent_ms`.
///
/// The last sign of the other end is at 0. At each probe that is due, the connection fails if that
/// sign is as old as the user timeout and a probe is unanswered.
fn fails_at_ms(user_timeout_ms: u32, silent_from_ms: u32, silent_ms: u32) -> Option<u32> {
    let (mut heard_at_ms, mut unanswered) = (0, 0);
    let silence = silent_from_ms..silent_from_ms.saturating_add(silent_ms);
    for probe_at_ms in (1..60).map(|probe| probe * INTERVAL_MS) {
        if unanswered > 0 && probe_at_ms - heard_at_ms >= user_timeout_ms {
            return Some(probe_at_ms);
        }
        if silence.contains(&probe_at_ms) {
            unanswered += 1;
        } else {
            (heard_at_ms, unanswered) = (probe_at_ms, 0);
        }
    }
    None
}

/// Regression test: with a user timeout of two seconds, an idle connection failed after a single
/// unanswered probe, so after a silence of any length.
#[test]
fn a_connection_survives_the_silence_of_a_sound_target() {
    assert_eq!(fails_at_ms(2_000, 990, 20), Some(2_000), "the fault");
    for silent_ms_max in [500, 1_000, 1_500, 2_000, 3_000] {
        let user_timeout_ms = user_timeout_ms(silent_ms_max);
        for silent_from_ms in (0..3 * INTERVAL_MS).step_by(STEP_MS as usize) {
            for silent_ms in (0..=silent_ms_max).step_by(STEP_MS as usize) {
                let failed = fails_at_ms(user_timeout_ms, silent_from_ms, silent_ms);
                assert_eq!(failed, None, "silent from {silent_from_ms} for {silent_ms} ms");
            }
        }
        let failed = fails_at_ms(user_timeout_ms, 0, u32::MAX);
        assert!(failed.is_some_and(|at_ms| at_ms <= user_timeout_ms + INTERVAL_MS), "{failed:?}");
    }
}
