//! The stored form: round trips, damaged chunks and racing operators.

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use lycheeford_config::{
    AssembleCategory, CHUNK_BYTES_MAX, ChangeCategory, Chunk, GRANT_BYTES, Head, HeadWrite,
    Settlement, assemble, check, encode, encode_declared, encode_keys, grant, missing_chunks,
    plan_apply, plan_grant, plan_withdraw, settle,
};
use lycheeford_policy::{Adapter, Configuration, Customer, Key, Model, Name, check_key};

fn configuration(models: u32, adapters: u32, customers: u32) -> Configuration {
    let listed: Vec<Name> = (0..customers).map(|index| name("customer", index)).collect();
    Configuration {
        models: (0..models).map(|index| model(name("model", index))).collect(),
        adapters: (0..adapters)
            .filter(|_| models > 0)
            .map(|index| Adapter {
                name: name("adapter", index),
                model: name("model", index % models),
                memory_bytes: 1 + u64::from(index),
                customers: listed.clone(),
            })
            .collect(),
        customers: listed.into_iter().map(customer).collect(),
        ..Configuration::default()
    }
}

fn name(kind: &str, index: u32) -> Name {
    Name::from(format!("{kind}-{index:05}"))
}

fn model(name: Name) -> Model {
    Model {
        name,
        memory_bytes: 16 << 30,
        replicas_max: 2,
        load_remote_ms: 20_000,
        load_disk_ms: 6_000,
        min_bytes_per_token: 2,
        customers: Vec::new(),
    }
}

fn customer(name: Name) -> Customer {
    Customer { name, rate_tokens_per_s: 10, burst_tokens: 100, class: 0 }
}

fn key(customer: &Name, seed: u8) -> Key {
    grant(customer, &[seed; GRANT_BYTES]).0
}

fn store(configuration: &Configuration, revision: u64) -> (Head, Vec<Chunk>) {
    let declared = encode_declared(configuration);
    let keys = encode_keys(&configuration.keys);
    let names = |chunks: &[Chunk]| chunks.iter().map(|chunk| chunk.name.clone()).collect();
    let head = Head {
        revision,
        declared_revision: revision,
        declared: names(&declared),
        keys: names(&keys),
        stamp: "first".to_owned(),
    };
    (head, [declared, keys].concat())
}

#[test]
fn a_change_of_one_adapter_of_17_000_replaces_one_small_chunk() {
    let old = configuration(240, 17_000, 1);
    let mut changed = old.clone();
    changed.adapters[8_500].memory_bytes += 1;
    let mut added = old.clone();
    let extra = Adapter { name: Name::from("adapter-08500-b"), ..old.adapters[8_500].clone() };
    added.adapters.insert(8_501, extra);
    let mut removed = old.clone();
    removed.adapters.remove(8_500);

    let stored = encode_declared(&old);
    assert!(stored.len() > 50, "{} chunks", stored.len());
    for (case, new) in [("changed", changed), ("added", added), ("removed", removed)] {
        let new = encode_declared(&new);
        let replaced: Vec<&Chunk> = new.iter().filter(|chunk| !stored.contains(chunk)).collect();
        assert_eq!(replaced.len(), 1, "{case}");
        let bytes: usize = new.iter().map(|chunk| chunk.text.len()).sum();
        println!("{case}: {} of {bytes} bytes, {} chunks", replaced[0].text.len(), new.len());
        assert!(replaced[0].text.len() < bytes / 10, "{case}");
    }
}

#[test]
fn a_follower_reads_only_what_it_lacks() {
    let mut old = configuration(240, 2_000, 1);
    old.keys = vec![key(&name("customer", 0), 1)];
    let (head, chunks) = store(&old, 1);
    let in_force = assemble(&head, &chunks).unwrap();
    assert_eq!(encode(&in_force), chunks);
    assert_eq!(missing_chunks(&head, &encode(&in_force)), []);

    let mut new = in_force.clone();
    new.adapters[1_000].memory_bytes += 1;
    let (head, chunks) = store(&new, 2);
    let mut present = encode(&in_force);
    let missing = missing_chunks(&head, &present);
    assert_eq!(missing.len(), 1);
    present.extend(chunks.into_iter().filter(|chunk| missing.contains(&chunk.name)));
    new.revision = 2;
    assert_eq!(assemble(&head, &present).unwrap(), new);
}

#[test]
fn large_entries_stay_below_the_bound_of_a_chunk() {
    let configuration = configuration(1, 60, 1_000);
    let (head, chunks) = store(&configuration, 1);
    assert!(chunks.len() > 1);
    assert!(chunks.iter().all(|chunk| chunk.text.len() <= CHUNK_BYTES_MAX));
    assert_eq!(assemble(&head, &chunks).unwrap().adapters, configuration.adapters);
}

#[test]
fn an_empty_store_is_an_empty_configuration() {
    assert_eq!(assemble(&Head::default(), &[]).unwrap(), Configuration::default());
}

#[test]
fn a_stored_document_with_faults_is_refused() {
    let mut faulty = configuration(1, 1, 1);
    faulty.models.clear();
    let (head, chunks) = store(&faulty, 1);
    let error = assemble(&head, &chunks).unwrap_err();
    assert_eq!(error.category(), AssembleCategory::Corrupt);
    assert!(error.to_string().contains("model-00000 is not declared"), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    #[test]
    fn assembles_what_was_encoded(
        models in 0..300_u32,
        adapters in 0..600_u32,
        keys in 0..200_u8,
        revision in any::<u64>(),
        shuffle in any::<prop::sample::Index>(),
    ) {
        let mut configuration = configuration(models, adapters, 3);
        configuration.keys = (0..keys).map(|seed| key(&name("customer", 1), seed)).collect();
        configuration.revision = revision;
        let (head, mut chunks) = store(&configuration, revision);
        let middle = shuffle.index(chunks.len());
        chunks.rotate_left(middle);
        chunks.push(Chunk { name: Name::from("unrelated"), text: "{}".to_owned() });
        prop_assert_eq!(assemble(&head, &chunks).unwrap(), configuration);
    }

    #[test]
    fn a_damaged_set_is_never_a_configuration(
        models in 1..300_u32,
        adapters in 0..600_u32,
        victim in any::<prop::sample::Index>(),
        place in any::<prop::sample::Index>(),
    ) {
        let mut configuration = configuration(models, adapters, 1);
        configuration.keys = vec![key(&name("customer", 0), 1)];
        let (head, chunks) = store(&configuration, 1);
        let victim = victim.index(chunks.len());

        let mut missing = chunks.clone();
        missing.remove(victim);
        let error = assemble(&head, &missing).unwrap_err();
        prop_assert_eq!(error.category(), AssembleCategory::Incomplete);

        let mut altered = chunks.clone();
        // Any digit may change without the text ceasing to be a valid document.
        let text = &altered[victim].text;
        let digits: Vec<usize> =
            text.bytes().enumerate().filter(|(_, byte)| byte.is_ascii_digit()).map(|(at, _)| at).collect();
        let at = digits[place.index(digits.len())];
        let digit = if text.as_bytes()[at] == b'7' { "8" } else { "7" };
        altered[victim].text.replace_range(at..=at, digit);
        let error = assemble(&head, &altered).unwrap_err();
        prop_assert_eq!(error.category(), AssembleCategory::Corrupt);

        let mut swapped = chunks.clone();
        let text = swapped[(victim + 1) % chunks.len()].text.clone();
        if text != swapped[victim].text {
            swapped[victim].text = text;
            prop_assert!(assemble(&head, &swapped).is_err());
        }
    }
}

/// The platform's store, as far as conditional updates go.
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

/// An operator with a change that it has read for and not yet written.
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

    /// Operators read, then write in another order; a model keeps what committed.
    #[test]
    fn racing_operators_revert_nothing(
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
                    // The daemon plans anew for the same operator.
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
fn changes_that_would_break_something_are_refused() {
    let mut store = Store::default();
    let first = plan(&store, &Change::Apply(1), 0).unwrap();
    store.commit(0, first);
    let granted = plan(&store, &Change::Grant(1), 1).unwrap();
    store.commit(1, granted);
    let (head, _, current) = store.read();

    let without = check(&lycheeford_config::Document::default()).unwrap();
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
fn a_lost_answer_is_settled_by_reading_back() {
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
        ("the write itself", &apply, head(5, 5, "new", "mine"), Settlement::Committed),
        ("the old head", &apply, head(4, 3, "old", "before"), Settlement::Pending),
        ("another write in its place", &apply, head(5, 5, "new", "other"), Settlement::Superseded),
        ("a grant on top", &apply, head(6, 5, "new", "other"), Settlement::Committed),
        (
            "a grant on top of another apply",
            &apply,
            head(6, 5, "x", "other"),
            Settlement::Superseded,
        ),
        ("another apply later", &apply, head(7, 7, "x", "other"), Settlement::Hidden),
        ("a grant under another grant", &grant, head(6, 3, "old", "other"), Settlement::Hidden),
    ];
    for (case, attempted, read_back, expected) in cases {
        assert_eq!(settle(&read_back, attempted), expected, "{case}");
    }
}

#[test]
fn a_head_travels_as_json() {
    let head = Head { revision: 7, stamp: "s".to_owned(), ..Head::default() };
    let json = serde_json::to_string(&head).unwrap();
    assert_matches!(serde_json::from_str::<Head>(&json), Ok(read) if read == head);
    assert_matches!(serde_json::from_str::<Head>(r#"{"revision":1}"#), Err(_));
}

#[test]
fn a_key_keeps_only_a_salted_digest_of_its_secret() {
    let mut random = [0; GRANT_BYTES];
    for (index, byte) in random.iter_mut().enumerate() {
        *byte = index as u8;
    }
    let (key, text) = grant(&Name::from("c"), &random);
    let secret = text.strip_prefix(&format!("lf_{}_", key.id)).unwrap();
    assert_eq!(key.salt.as_str(), hex::encode(&random[8..24]));
    assert_eq!(secret, hex::encode(&random[24..]));
    assert!(!format!("{key:?}").contains(secret));
    let configuration = Configuration { keys: vec![key], ..Configuration::default() };
    assert!(check_key(&configuration, &text).is_some());
    assert!(check_key(&configuration, &text[..text.len() - 1]).is_none());
}
