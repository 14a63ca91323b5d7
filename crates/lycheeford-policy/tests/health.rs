//! Tests of the verdicts drawn from probes, also when the probing process itself was paused.

use lycheeford_policy::{
    CLOCK_JUMP_MS, DOWN_AFTER_MS, HEALTH_TICK_MS, Health, MIN_FAILED_PROBES, Name, ProbeResult,
    SUSPECT_AFTER_MS, TimeMs, Verdict, VerdictChange,
};

const START: TimeMs = TimeMs::from_ms(50_000);

fn host() -> Name {
    Name::from("engine-1")
}

/// Probes and ticks every `HEALTH_TICK_MS` for `for_ms`; every probe ends in `result`.
fn run(health: &mut Health, from: TimeMs, for_ms: u64, result: ProbeResult) -> Vec<VerdictChange> {
    let mut changes = Vec::new();
    for at_ms in (0..=for_ms).step_by(HEALTH_TICK_MS as usize) {
        let now = from + at_ms;
        changes.extend(health.record_probe(now, &host(), now, result));
        changes.extend(health.tick(now));
    }
    changes
}

fn health_of_one_host() -> Health {
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
fn a_host_that_does_not_answer_is_suspect_and_then_down() {
    let cases = [
        Case { name: "one failed probe", failing_ms: 0, verdict: Verdict::Up },
        Case {
            name: "just below the limit for suspect",
            failing_ms: SUSPECT_AFTER_MS - 100,
            verdict: Verdict::Up,
        },
        Case {
            name: "at the limit for suspect",
            failing_ms: SUSPECT_AFTER_MS,
            verdict: Verdict::Suspect,
        },
        Case {
            name: "just below the limit for down",
            failing_ms: DOWN_AFTER_MS - 100,
            verdict: Verdict::Suspect,
        },
        Case { name: "at the limit for down", failing_ms: DOWN_AFTER_MS, verdict: Verdict::Down },
    ];
    for case in cases {
        let mut health = health_of_one_host();
        run(&mut health, START, case.failing_ms, ProbeResult::Failed);
        assert_eq!(health.verdict("engine-1"), case.verdict, "{}", case.name);
        let later = START + case.failing_ms + 1;
        health.record_probe(later, &host(), later, ProbeResult::Answered);
        assert_eq!(health.verdict("engine-1"), Verdict::Up, "{}", case.name);
    }
}

#[test]
fn too_few_failed_probes_never_mean_down_however_old() {
    let mut health = health_of_one_host();
    for number in 0..u64::from(MIN_FAILED_PROBES) - 1 {
        health.record_probe(START, &host(), START + number, ProbeResult::Failed);
    }
    for at_ms in (0..DOWN_AFTER_MS * 2).step_by(HEALTH_TICK_MS as usize) {
        health.tick(START + at_ms);
    }
    assert_eq!(health.verdict("engine-1"), Verdict::Suspect);
}

/// While the daemon is paused, all its probes time out because it doesn't read the answers. These
/// failures must not count against the host.
#[test]
fn a_daemon_that_resumes_after_a_pause_changes_no_verdict() {
    for pause_ms in [CLOCK_JUMP_MS + 1, DOWN_AFTER_MS, 60_000, 3_600_000] {
        let mut health = health_of_one_host();
        run(&mut health, START, 400, ProbeResult::Answered);
        let resumed_at = START + 400 + pause_ms;
        let mut changes = Vec::new();
        for number in 0..20 {
            let sent_at = START + 400 + number;
            changes.extend(health.record_probe(resumed_at, &host(), sent_at, ProbeResult::Failed));
        }
        changes.extend(health.tick(resumed_at));
        changes.extend(health.tick(resumed_at + HEALTH_TICK_MS));
        changes.extend(run(&mut health, resumed_at + 100, 200, ProbeResult::Answered));
        assert_eq!(changes, [], "after {pause_ms} ms");
    }
}

#[test]
fn a_daemon_that_resumes_detects_a_host_that_stopped_meanwhile() {
    let mut health = health_of_one_host();
    run(&mut health, START, 400, ProbeResult::Answered);
    let resumed_at = START + 60_000;
    run(&mut health, resumed_at, DOWN_AFTER_MS, ProbeResult::Failed);
    assert_eq!(health.verdict("engine-1"), Verdict::Down);
}

#[test]
fn a_failed_probe_does_not_count_after_a_later_probe_was_answered() {
    let mut health = health_of_one_host();
    let later = START + 400;
    health.record_probe(later, &host(), later, ProbeResult::Answered);
    for _ in 0..10 {
        health.record_probe(later, &host(), START, ProbeResult::Failed);
    }
    for at_ms in (0..DOWN_AFTER_MS).step_by(HEALTH_TICK_MS as usize) {
        health.tick(later + at_ms);
    }
    assert_eq!(health.verdict("engine-1"), Verdict::Up);
}
