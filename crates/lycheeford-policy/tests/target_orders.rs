//! Tests of how a target's status resolves the orders on record, and of recording orders.

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

fn decided_replica() -> (ReplicaSet, Replica) {
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

fn record_with_load() -> TargetRecord {
    let (_, replica) = decided_replica();
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
enum Evidence {
    Nothing,
    /// The sender is proven gone.
    SenderGone,
    /// The order can no longer reach this instance of the target.
    SendingOver,
    /// The connection ended without an answer; the order may still lie in the target's buffers.
    SendingEnded,
}

#[derive(Debug, PartialEq)]
enum Resolution {
    /// The order isn't resolved and its bytes stay reserved.
    Open,
    /// The order is resolved and its bytes are in use.
    Settled,
    /// The order is resolved, its bytes are free and the replica is cancelled.
    Freed,
}

struct Case {
    name: &'static str,
    status: TargetStatus,
    known: Evidence,
    fence_check: FenceCheck,
    after: Resolution,
}

impl Case {
    fn new(name: &'static str, status: TargetStatus, after: Resolution) -> Case {
        Case { name, status, known: Evidence::Nothing, fence_check: FenceCheck::Ignored, after }
    }
}

#[test]
fn a_load_is_resolved_only_by_evidence() {
    let restarted = TargetStatus { incarnation: Incarnation(4), ..status(None, None) };
    let fenced = TargetStatus { highest_fence: 2, ..status(None, None) };
    let earlier = TargetStatus { incarnation: Incarnation(2), ..status(None, None) };
    let cases = [
        Case::new(
            "loading",
            status(Some(OrderOutcome::Accepted), Some(LoadState::Loading)),
            Resolution::Settled,
        ),
        Case::new(
            "ready",
            status(Some(OrderOutcome::Done), Some(LoadState::Ready)),
            Resolution::Settled,
        ),
        Case::new(
            "accepted, model not in the status yet",
            status(Some(OrderOutcome::Accepted), None),
            Resolution::Open,
        ),
        Case::new("refused", status(Some(OrderOutcome::RefusedMemory), None), Resolution::Freed),
        Case::new("failed", status(Some(OrderOutcome::Failed), None), Resolution::Freed),
        Case::new("no such order", status(None, None), Resolution::Open),
        Case {
            known: Evidence::SenderGone,
            ..Case::new("no such order, sender gone", status(None, None), Resolution::Freed)
        },
        Case {
            known: Evidence::SendingOver,
            ..Case::new("never sent", status(None, None), Resolution::Freed)
        },
        Case::new("target restarted, order may still be sent", restarted.clone(), Resolution::Open),
        Case {
            known: Evidence::SenderGone,
            ..Case::new("target restarted, sender gone", restarted, Resolution::Freed)
        },
        Case {
            known: Evidence::SendingEnded,
            ..Case::new("unanswered, may lie in a buffer", status(None, None), Resolution::Open)
        },
        Case {
            known: Evidence::SendingEnded,
            ..Case::new(
                "unanswered, greater fence, fences ignored",
                fenced.clone(),
                Resolution::Open,
            )
        },
        Case {
            fence_check: FenceCheck::Checked,
            ..Case::new("greater fence, order may still be sent", fenced.clone(), Resolution::Open)
        },
        Case {
            known: Evidence::SendingEnded,
            fence_check: FenceCheck::Checked,
            ..Case::new("unanswered, greater fence, fences checked", fenced, Resolution::Freed)
        },
        Case {
            known: Evidence::SenderGone,
            ..Case::new("status of an earlier instance", earlier, Resolution::Open)
        },
    ];
    for case in cases {
        let mut gone = GoneProofs::default();
        if case.known == Evidence::SenderGone {
            gone.answered(&Instance::new("entry-1", 2));
        }
        let order_ids = [Name::from(ORDER)];
        let orders_if = |known| if case.known == known { &order_ids[..] } else { &[] };
        let evidence = ResolveEvidence {
            gone: &gone,
            concluded_orders: orders_if(Evidence::SendingOver),
            unanswered_orders: orders_if(Evidence::SendingEnded),
            fence_check: case.fence_check,
        };
        let record = record_with_load();
        for record in [record.clone(), record.set_aside(&ORDER.into()).unwrap()] {
            let record = resolve(&record, &case.status, &evidence).unwrap_or(record);
            let is_open = record.orders().count() == 1;
            let after = match (is_open, record.reserved_bytes()) {
                (true, 6) => Resolution::Open,
                (false, 6) => Resolution::Settled,
                (false, 0) => Resolution::Freed,
                (_, bytes) => panic!("{}: {bytes} bytes reserved", case.name),
            };
            assert_eq!(after, case.after, "{}", case.name);
            assert_eq!(
                record.is_cancelled(&NAME.into(), 1),
                after == Resolution::Freed,
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn an_unload_frees_its_memory_when_the_status_no_longer_shows_the_model() {
    let gone = GoneProofs::default();
    let evidence = ResolveEvidence {
        gone: &gone,
        concluded_orders: &[],
        unanswered_orders: &[],
        fence_check: FenceCheck::Ignored,
    };
    let loaded = status(Some(OrderOutcome::Done), Some(LoadState::Ready));
    let record = resolve(&record_with_load(), &loaded, &evidence).unwrap();
    let record = record.record_unload(&"entry-1.1.2".into(), &NAME.into(), &sender()).unwrap();
    assert_eq!(resolve(&record, &loaded, &evidence), None);
    let (set, replica) = decided_replica();
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
fn a_load_is_recorded_once_and_only_by_its_decider_and_within_the_memory() {
    let (_, replica) = decided_replica();
    let other = Instance::new("entry-2", 1);
    let order = Name::from("entry-1.1.2");
    let name = Name::from(NAME);
    let empty = TargetRecord::default();
    let from_other_sender = empty.record_load(&load(&replica, &order, &name, &other));
    assert_eq!(from_other_sender, Err(RecordFault::Cancelled));
    let cancelled = empty.cancel(&name, &replica).unwrap();
    let after_cancel = cancelled.record_load(&load(&replica, &order, &name, &sender()));
    assert_eq!(after_cancel, Err(RecordFault::Cancelled));
    let second_order =
        record_with_load().record_load(&load(&replica, &order, &"other".into(), &sender()));
    assert_eq!(second_order, Err(RecordFault::OrderPending));
    let set_aside_record = record_with_load().set_aside(&ORDER.into()).unwrap();
    let second_reservation =
        set_aside_record.record_load(&load(&replica, &order, &name, &sender()));
    assert_eq!(second_reservation, Err(RecordFault::AlreadyReserved));
    let over_capacity =
        set_aside_record.record_load(&load(&replica, &order, &"other".into(), &sender()));
    assert_eq!(over_capacity, Err(RecordFault::NoMemory));
}
