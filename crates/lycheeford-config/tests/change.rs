//! Tests of changes of the stored configuration: concurrent operators, rejected changes and
//! lost responses of the store.

mod fleet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use lycheeford_config::{
    ChangeCategory, Chunk, Document, Head, HeadWrite, WriteOutcome, assemble, check, plan_apply,
    plan_grant, plan_withdraw, resolve_write_outcome,
};
use lycheeford_policy::{Configuration, Name};

use crate::fleet::{configuration, key, name};

/// A model of the conditional updates of the platform's store.
#[derive(Debug, Default)]
struct Store {
    head: Head,
    version: u64,
    chunks: Vec<Chunk>,
}

impl Store {
    fn read(&self) -> (Head, u64, Configuration) {
        (self.head.clone(), self.version, assemble(&self.head, &self.chunks).unwrap())
    }

    fn commit(&mut self, version: u64, write: HeadWrite) -> bool {
        self.chunks.extend(write.chunks);
        if version != self.version {
            return false;
        }
        self.head = write.head;
        self.version += 1;
        true
    }
}

#[derive(Debug, Clone)]
enum Change {
    Apply(u32),
    Grant(u8),
    Withdraw(u8),
}

/// A change of an operator that has read the head and not yet written.
#[derive(Debug)]
struct Pending {
    change: Change,
    base_revision: u64,
    version: u64,
    write: Option<HeadWrite>,
}

fn plan(store: &Store, change: &Change, base_revision: u64) -> Option<HeadWrite> {
    let (head, _, current) = store.read();
    let customer = name("customer", 0);
    match change {
        Change::Apply(models) => {
            let declared = configuration(*models, 2, 1);
            plan_apply(&head, &current, base_revision, &declared, "apply").ok()
        }
        Change::Grant(seed) => plan_grant(&head, &current, key(&customer, *seed), "grant").ok(),
        Change::Withdraw(seed) => {
            plan_withdraw(&head, &current, &key(&customer, *seed).id, "withdraw").ok()
        }
    }
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (1..9_u32).prop_map(Change::Apply),
        (0..6_u8).prop_map(Change::Grant),
        (0..6_u8).prop_map(Change::Withdraw),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    /// Operators read the head, then write in another order. A model of the committed changes
    /// shows that no operator reverts another's change.
    #[test]
    fn concurrent_operators_revert_no_committed_change(
        rounds in prop::collection::vec(
            (prop::collection::vec(change(), 1..4), any::<prop::sample::Index>()),
            1..12,
        ),
    ) {
        let mut store = Store::default();
        let first = plan(&store, &Change::Apply(1), 0).unwrap();
        prop_assert!(store.commit(0, first));
        let (mut models, mut keys) = (1, Vec::<Name>::new());

        for (changes, order) in rounds {
            let (base_revision, version) = (store.head.revision, store.version);
            let mut pending: Vec<Pending> = changes
                .into_iter()
                .map(|change| {
                    let write = plan(&store, &change, base_revision);
                    Pending { change, base_revision, version, write }
                })
                .collect();
            let middle = order.index(pending.len());
            pending.rotate_left(middle);
            for operator in pending {
                let Some(write) = operator.write else { continue };
                let applied_before = store.head.declared_revision;
                let mut committed = store.commit(operator.version, write);
                if !committed {
                    // On a conflict the daemon plans the same operator's change again.
                    let version = store.version;
                    if let Some(write) = plan(&store, &operator.change, operator.base_revision) {
                        committed = store.commit(version, write);
                    }
                }
                if committed {
                    match operator.change {
                        Change::Apply(count) => {
                            prop_assert_eq!(store.head.declared_revision, store.head.revision);
                            prop_assert!(operator.base_revision >= applied_before);
                            models = count;
                        }
                        Change::Grant(seed) => keys.push(key(&name("customer", 0), seed).id),
                        Change::Withdraw(seed) => {
                            let id = key(&name("customer", 0), seed).id;
                            keys.retain(|other| *other != id);
                        }
                    }
                }
                let (_, _, stored) = store.read();
                keys.sort();
                let ids: Vec<Name> = stored.keys.iter().map(|key| key.id.clone()).collect();
                prop_assert_eq!(&ids, &keys);
                prop_assert_eq!(stored.models.len(), models as usize);
            }
        }
    }
}

#[test]
fn an_apply_conflicts_with_an_apply_but_not_with_a_grant() {
    let mut store = Store::default();
    let first = plan(&store, &Change::Apply(1), 0).unwrap();
    store.commit(0, first);
    let base_revision = store.head.revision;
    let granted = plan(&store, &Change::Grant(1), base_revision).unwrap();
    store.commit(1, granted);
    let other = plan(&store, &Change::Apply(2), base_revision).unwrap();
    assert_eq!(other.head.keys, store.head.keys);
    store.commit(2, other);

    let (head, _, current) = store.read();
    let declared = configuration(3, 0, 1);
    let error = plan_apply(&head, &current, base_revision, &declared, "late").unwrap_err();
    assert_eq!(error.category(), ChangeCategory::Conflict);
    assert!(error.to_string().contains("compare with revision 3"), "{error}");
    let error = plan_apply(&head, &current, 9, &declared, "ahead").unwrap_err();
    assert_eq!(error.category(), ChangeCategory::Conflict);
}

#[test]
fn changes_that_conflict_with_existing_keys_and_customers_are_refused() {
    let mut store = Store::default();
    let first = plan(&store, &Change::Apply(1), 0).unwrap();
    store.commit(0, first);
    let granted = plan(&store, &Change::Grant(1), 1).unwrap();
    store.commit(1, granted);
    let (head, _, current) = store.read();

    let without = check(&Document::default()).unwrap();
    let error = plan_apply(&head, &current, 2, &without, "s").unwrap_err();
    assert!(error.to_string().contains("withdraw its keys before"), "{error}");
    assert_eq!(error.category(), ChangeCategory::Refused);

    let error = plan_grant(&head, &current, key(&name("customer", 0), 1), "s").unwrap_err();
    assert_eq!(error.category(), ChangeCategory::Refused);
    let error = plan_grant(&head, &current, key(&name("nobody", 0), 2), "s").unwrap_err();
    assert_eq!(error.category(), ChangeCategory::NotFound);
    let error = plan_withdraw(&head, &current, "0000", "s").unwrap_err();
    assert_eq!(error.category(), ChangeCategory::NotFound);
}

#[test]
fn the_outcome_of_a_write_with_a_lost_response_is_found_by_reading_back() {
    let head = |revision, declared_revision, declared: &str, stamp: &str| Head {
        revision,
        declared_revision,
        declared: vec![Name::from(declared)],
        keys: Vec::new(),
        stamp: stamp.to_owned(),
    };
    let apply = head(5, 5, "new", "mine");
    let grant = head(5, 3, "old", "mine");
    let cases = [
        ("the write itself", &apply, head(5, 5, "new", "mine"), WriteOutcome::Committed),
        ("the old head", &apply, head(4, 3, "old", "before"), WriteOutcome::Pending),
        (
            "another write at the same revision",
            &apply,
            head(5, 5, "new", "other"),
            WriteOutcome::Superseded,
        ),
        ("a grant after the apply", &apply, head(6, 5, "new", "other"), WriteOutcome::Committed),
        ("a grant after another apply", &apply, head(6, 5, "x", "other"), WriteOutcome::Superseded),
        ("another apply later", &apply, head(7, 7, "x", "other"), WriteOutcome::Indeterminate),
        (
            "another grant after a grant",
            &grant,
            head(6, 3, "old", "other"),
            WriteOutcome::Indeterminate,
        ),
    ];
    for (case, attempted, read_back, expected) in cases {
        assert_eq!(resolve_write_outcome(&read_back, attempted), expected, "{case}");
    }
}
