//! Tests that the arithmetic of a token bucket is exact.

use lycheeford_policy::{RateLimits, TimeMs, TokenBucket, WHOLE_SHARE_PPM};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: RateLimits = RateLimits { rate_tokens_per_s: 7, burst_tokens: 1_000_000 };
const START: TimeMs = TimeMs::from_ms(0);

fn bucket(limits: RateLimits, share_ppm: u32) -> TokenBucket {
    let mut bucket = TokenBucket::new(START, limits);
    bucket.set_share(START, share_ppm);
    bucket
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x70c),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn refilling_often_or_once_gives_the_same_level(
        share_ppm in 1..=WHOLE_SHARE_PPM,
        steps_ms in prop::collection::vec(0..5_000_u64, 1..200),
    ) {
        let mut often = bucket(LIMITS, share_ppm);
        let mut once = bucket(LIMITS, share_ppm);
        let mut now = START;
        for step_ms in steps_ms {
            now = now + step_ms;
            often.level_tokens(now);
            often.level_tokens(START);
        }
        prop_assert_eq!(often.level_tokens(now), once.level_tokens(now));
        let refilled = u128::from(now.as_ms()) * 7 * u128::from(share_ppm);
        prop_assert_eq!(u128::from(once.level_tokens(now)), refilled / 1_000_000_000);
    }

    #[test]
    fn tokens_are_available_exactly_at_the_announced_time(
        share_ppm in 1..=WHOLE_SHARE_PPM,
        rate_tokens_per_s in 1..100_000_u64,
        tokens in 1..1_000_u64,
    ) {
        let limits = RateLimits { rate_tokens_per_s, burst_tokens: 1_000 };
        let mut bucket = bucket(limits, share_ppm);
        let fits = u64::from(share_ppm) * 1_000 >= tokens * u64::from(WHOLE_SHARE_PPM);
        match bucket.ready_in_ms(START, tokens) {
            None => prop_assert!(!fits),
            Some(ready_in_ms) => {
                prop_assert!(fits);
                prop_assert!(bucket.clone().level_tokens(START + (ready_in_ms - 1)) < tokens);
                prop_assert!(bucket.level_tokens(START + ready_in_ms) >= tokens);
            }
        }
    }
}

#[test]
fn new_limits_apply_from_the_time_they_are_set() {
    let limits = |rate_tokens_per_s, burst_tokens| RateLimits { rate_tokens_per_s, burst_tokens };
    let mut bucket = bucket(limits(100, 1_000), WHOLE_SHARE_PPM);
    let later = START + 5_000;
    bucket.set_limits(later, limits(10, 200));
    assert_eq!(bucket.level_tokens(later), 200);
    assert_eq!(bucket.commit(later, 150), 150);
    bucket.set_limits(later, limits(10, 100));
    assert_eq!(bucket.level_tokens(later + 60_000), 0);
    bucket.spend(later + 60_000, 100);
    assert_eq!(bucket.level_tokens(later + 60_000), 0);
    assert_eq!(bucket.level_tokens(later + 61_000), 10);
    bucket.set_limits(later + 61_000, limits(1_000, 1_000));
    assert_eq!(bucket.level_tokens(later + 61_000), 10);
}
