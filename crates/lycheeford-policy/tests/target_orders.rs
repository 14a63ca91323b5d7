//! What a target's status makes of an order, case by case.

use lycheeford_policy::{
    FenceCheck, GoneProofs, Incarnation, Instance, LoadRequest, LoadState, LoadedName, Name,
    OrderOutcome, OrderReport, RecordFault, Replica, ReplicaFault, ReplicaSet, ResolveEvidence,
    TargetRecord, TargetStatus, resolve,
};

const NAME: &str = "ice-chart";
const ORDER: &str = "entry-1.1.1";

fn sender() -> Instance {
    Instance::new("entry-1", 1)
}

fn decided() -> (ReplicaSet, Replica) {
    ReplicaSet::default().decide(&"engine-1".into(), 1, &sender()).unwrap()
}

fn load<'a>(
    replica: &'a Replica,
    order: &'a Name,
    name: &'a Name,
    by: &'a Instance,
) -> LoadRequest<'a> {
    LoadRequest { order_id: order, name, memory_bytes: 6, replica, sender: by, capacity_bytes: 10 }
}

fn recorded() -> TargetRecord {
    let (_, replica) = decided();
    let record = TargetRecord { incarnation: Incarnation(3), ..TargetRecord::default() };
    record.record_load(&load(&replica, &ORDER.into(), &NAME.into(), &sender())).unwrap()
}

fn status(outcome: Option<OrderOutcome>, loaded: Option<LoadState>) -> TargetStatus {
    let report = |outcome| OrderReport { order_id: ORDER.into(), outcome };
    let held = |state| LoadedName { name: NAME.into(), memory_bytes: 6, state };
    TargetStatus {
        incarnation: Incarnation(3),
        highest_fence: 0,
        loaded: loaded.map(held).into_iter().collect(),
        orders: outcome.map(report).into_iter().collect(),
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    Nothing,
    SenderGone,
    SendingOver,
    SendingEnded,
}

#[derive(Debug, PartialEq)]
enum After {
    /// The order isn't resolved and holds its bytes.
    Open,
    /// The order is resolved and its bytes are in use.
    Settled,
    /// The bytes are free and the replica is cancelled.
    Freed,
}

struct Case {
    name: &'static str,
    status: TargetStatus,
    known: Known,
    fence_check: FenceCheck,
    after: After,
}

impl Case {
    fn new(name: &'static str, status: TargetStatus, after: After) -> Case {
        Case { name, status, known: Known::Nothing, fence_check: FenceCheck::Ignored, after }
    }
}

#[test]
fn a_load_is_resolved_by_evidence_only() {
    let restarted = TargetStatus { incarnation: Incarnation(4), ..status(None, None) };
    let fenced = TargetStatus { highest_fence: 2, ..status(None, None) };
    let earlier = TargetStatus { incarnation: Incarnation(2), ..status(None, None) };
    let cases = [
        Case::new(
            "loading",
            status(Some(OrderOutcome::Accepted), Some(LoadState::Loading)),
            After::Settled,
        ),
        Case::new(
            "ready",
            status(Some(OrderOutcome::Done), Some(LoadState::Ready)),
            After::Settled,
        ),
        Case::new(
            "accepted, not shown yet",
            status(Some(OrderOutcome::Accepted), None),
            After::Open,
        ),
        Case::new("refused", status(Some(OrderOutcome::RefusedMemory), None), After::Freed),
        Case::new("failed", status(Some(OrderOutcome::Failed), None), After::Freed),
        Case::new("unknown", status(None, None), After::Open),
        Case {
            known: Known::SenderGone,
            ..Case::new("unknown, sender gone", status(None, None), After::Freed)
        },
        Case {
            known: Known::SendingOver,
            ..Case::new("never sent", status(None, None), After::Freed)
        },
        Case::new("restarted, may yet be sent", restarted.clone(), After::Open),
        Case {
            known: Known::SenderGone,
            ..Case::new("restarted, sender gone", restarted, After::Freed)
        },
        Case {
            known: Known::SendingEnded,
            ..Case::new("unanswered, may lie in a buffer", status(None, None), After::Open)
        },
        Case {
            known: Known::SendingEnded,
            ..Case::new("unanswered, greater fence, ignored", fenced.clone(), After::Open)
        },
        Case {
            fence_check: FenceCheck::Checked,
            ..Case::new("greater fence, but it may yet be sent", fenced.clone(), After::Open)
        },
        Case {
            known: Known::SendingEnded,
            fence_check: FenceCheck::Checked,
            ..Case::new("unanswered, greater fence, checked", fenced, After::Freed)
        },
        Case {
            known: Known::SenderGone,
            ..Case::new("status of an earlier life", earlier, After::Open)
        },
    ];
    for case in cases {
        let mut gone = GoneProofs::default();
        if case.known == Known::SenderGone {
            gone.answered(&Instance::new("entry-1", 2));
        }
        let over = [Name::from(ORDER)];
        let known = |known| if case.known == known { &over[..] } else { &[] };
        let evidence = ResolveEvidence {
            gone: &gone,
            sending_over: known(Known::SendingOver),
            sending_ended: known(Known::SendingEnded),
            fence_check: case.fence_check,
        };
        let record = recorded();
        for record in [record.clone(), record.set_aside(&ORDER.into()).unwrap()] {
            let record = resolve(&record, &case.status, &evidence).unwrap_or(record);
            let is_open = record.orders().count() == 1;
            let after = match (is_open, record.reserved_bytes()) {
                (true, 6) => After::Open,
                (false, 6) => After::Settled,
                (false, 0) => After::Freed,
                (_, bytes) => panic!("{}: {bytes} bytes reserved", case.name),
            };
            assert_eq!(after, case.after, "{}", case.name);
            assert_eq!(
                record.is_cancelled(&NAME.into(), 1),
                after == After::Freed,
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn an_unload_frees_when_the_status_shows_it_gone() {
    let gone = GoneProofs::default();
    let evidence = ResolveEvidence {
        gone: &gone,
        sending_over: &[],
        sending_ended: &[],
        fence_check: FenceCheck::Ignored,
    };
    let loaded = status(Some(OrderOutcome::Done), Some(LoadState::Ready));
    let record = resolve(&recorded(), &loaded, &evidence).unwrap();
    let record = record.record_unload(&"entry-1.1.2".into(), &NAME.into(), &sender()).unwrap();
    assert_eq!(resolve(&record, &loaded, &evidence), None);
    let (set, replica) = decided();
    assert_eq!(set.remove(&NAME.into(), replica.id, &record), Err(ReplicaFault::StillHeld));
    let unloaded = TargetStatus {
        orders: vec![OrderReport { order_id: "entry-1.1.2".into(), outcome: OrderOutcome::Done }],
        ..status(None, None)
    };
    let record = resolve(&record, &unloaded, &evidence).unwrap();
    assert_eq!(record.reserved_bytes(), 0);
    assert!(set.remove(&NAME.into(), replica.id, &record).unwrap().replicas.is_empty());
}

#[test]
fn a_load_is_recorded_once_by_its_decider_within_the_memory() {
    let (_, replica) = decided();
    let other = Instance::new("entry-2", 1);
    let order = Name::from("entry-1.1.2");
    let name = Name::from(NAME);
    let empty = TargetRecord::default();
    let by_other = empty.record_load(&load(&replica, &order, &name, &other));
    assert_eq!(by_other, Err(RecordFault::Cancelled));
    let cancelled = empty.cancel(&name, &replica).unwrap();
    let late = cancelled.record_load(&load(&replica, &order, &name, &sender()));
    assert_eq!(late, Err(RecordFault::Cancelled));
    let pending = recorded().record_load(&load(&replica, &order, &"other".into(), &sender()));
    assert_eq!(pending, Err(RecordFault::OrderPending));
    let aside = recorded().set_aside(&ORDER.into()).unwrap();
    let twice = aside.record_load(&load(&replica, &order, &name, &sender()));
    assert_eq!(twice, Err(RecordFault::AlreadyReserved));
    let too_much = aside.record_load(&load(&replica, &order, &"other".into(), &sender()));
    assert_eq!(too_much, Err(RecordFault::NoMemory));
}
