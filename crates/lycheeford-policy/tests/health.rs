//! Verdicts from probes, and what a pause of the own process does to them.

use lycheeford_policy::{
    CLOCK_JUMP_MS, DOWN_AFTER_MS, HEALTH_TICK_MS, Health, MIN_FAILED_PROBES, Name, ProbeResult,
    SUSPECT_AFTER_MS, TimeMs, Verdict, VerdictChange,
};

const START: TimeMs = TimeMs::from_ms(50_000);

fn host() -> Name {
    Name::from("engine-1")
}

/// Probes and ticks every `HEALTH_TICK_MS`, with every probe ending in `result`.
fn run(health: &mut Health, from: TimeMs, for_ms: u64, result: ProbeResult) -> Vec<VerdictChange> {
    let mut changes = Vec::new();
    for at_ms in (0..=for_ms).step_by(HEALTH_TICK_MS as usize) {
        let now = from + at_ms;
        changes.extend(health.probed(now, &host(), now, result));
        changes.extend(health.tick(now));
    }
    changes
}

fn watching() -> Health {
    let mut health = Health::new(START);
    health.set_hosts(START, &[host()]);
    health
}

struct Case {
    name: &'static str,
    failing_ms: u64,
    verdict: Verdict,
}

#[test]
fn a_silent_host_is_suspected_and_then_down() {
    let cases = [
        Case { name: "one probe", failing_ms: 0, verdict: Verdict::Up },
        Case { name: "just below", failing_ms: SUSPECT_AFTER_MS - 100, verdict: Verdict::Up },
        Case { name: "a second", failing_ms: SUSPECT_AFTER_MS, verdict: Verdict::Suspect },
        Case {
            name: "just below down",
            failing_ms: DOWN_AFTER_MS - 100,
            verdict: Verdict::Suspect,
        },
        Case { name: "long", failing_ms: DOWN_AFTER_MS, verdict: Verdict::Down },
    ];
    for case in cases {
        let mut health = watching();
        run(&mut health, START, case.failing_ms, ProbeResult::Failed);
        assert_eq!(health.verdict("engine-1"), case.verdict, "{}", case.name);
        let later = START + case.failing_ms + 1;
        health.probed(later, &host(), later, ProbeResult::Answered);
        assert_eq!(health.verdict("engine-1"), Verdict::Up, "{}", case.name);
    }
}

#[test]
fn few_failures_condemn_nobody_however_old() {
    let mut health = watching();
    for number in 0..u64::from(MIN_FAILED_PROBES) - 1 {
        health.probed(START, &host(), START + number, ProbeResult::Failed);
    }
    for at_ms in (0..DOWN_AFTER_MS * 2).step_by(HEALTH_TICK_MS as usize) {
        health.tick(START + at_ms);
    }
    assert_eq!(health.verdict("engine-1"), Verdict::Suspect);
}

/// A pause lets every probe time out at once, and the answers go unread.
#[test]
fn a_paused_daemon_condemns_nobody_on_waking() {
    for pause_ms in [CLOCK_JUMP_MS + 1, DOWN_AFTER_MS, 60_000, 3_600_000] {
        let mut health = watching();
        run(&mut health, START, 400, ProbeResult::Answered);
        let woke = START + 400 + pause_ms;
        let mut changes = Vec::new();
        for number in 0..20 {
            let sent_at = START + 400 + number;
            changes.extend(health.probed(woke, &host(), sent_at, ProbeResult::Failed));
        }
        changes.extend(health.tick(woke));
        changes.extend(health.tick(woke + HEALTH_TICK_MS));
        changes.extend(run(&mut health, woke + 100, 200, ProbeResult::Answered));
        assert_eq!(changes, [], "after {pause_ms} ms");
    }
}

#[test]
fn a_paused_daemon_still_finds_who_died_meanwhile() {
    let mut health = watching();
    run(&mut health, START, 400, ProbeResult::Answered);
    let woke = START + 60_000;
    run(&mut health, woke, DOWN_AFTER_MS, ProbeResult::Failed);
    assert_eq!(health.verdict("engine-1"), Verdict::Down);
}

#[test]
fn a_late_failure_says_nothing_about_a_host_that_answered_since() {
    let mut health = watching();
    let later = START + 400;
    health.probed(later, &host(), later, ProbeResult::Answered);
    for _ in 0..10 {
        health.probed(later, &host(), START, ProbeResult::Failed);
    }
    for at_ms in (0..DOWN_AFTER_MS).step_by(HEALTH_TICK_MS as usize) {
        health.tick(later + at_ms);
    }
    assert_eq!(health.verdict("engine-1"), Verdict::Up);
}
