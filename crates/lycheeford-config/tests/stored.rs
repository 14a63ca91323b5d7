//! Tests of the stored form of a configuration: round trips, sizes and damaged chunks.

mod fleet;

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use lycheeford_config::{
    AssembleCategory, CHUNK_BYTES_MAX, Chunk, Head, KEY_RANDOM_BYTES, assemble, encode,
    encode_declared, encode_keys, generate_key, missing_chunks,
};
use lycheeford_policy::{Adapter, Configuration, Name, check_key};

use crate::fleet::{configuration, key, name};

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
fn a_daemon_reads_only_the_chunks_that_changed() {
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
fn chunks_with_large_entries_stay_within_the_maximum_size() {
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
    fn assembling_encoded_chunks_restores_the_configuration(
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
    fn damaged_chunks_never_become_a_configuration(
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
        // Changing a digit leaves the text a valid document, so only the hash shows the change.
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

#[test]
fn a_head_round_trips_through_json() {
    let head = Head { revision: 7, stamp: "s".to_owned(), ..Head::default() };
    let json = serde_json::to_string(&head).unwrap();
    assert_matches!(serde_json::from_str::<Head>(&json), Ok(read) if read == head);
    assert_matches!(serde_json::from_str::<Head>(r#"{"revision":1}"#), Err(_));
}

#[test]
fn a_key_keeps_only_a_salted_digest_of_its_secret() {
    let mut random = [0; KEY_RANDOM_BYTES];
    for (index, byte) in random.iter_mut().enumerate() {
        *byte = index as u8;
    }
    let (key, text) = generate_key(&Name::from("c"), &random);
    let secret = text.strip_prefix(&format!("lf_{}_", key.id)).unwrap();
    assert_eq!(key.salt.as_str(), hex::encode(&random[8..24]));
    assert_eq!(secret, hex::encode(&random[24..]));
    assert!(!format!("{key:?}").contains(secret));
    let configuration = Configuration { keys: vec![key], ..Configuration::default() };
    assert!(check_key(&configuration, &text).is_some());
    assert!(check_key(&configuration, &text[..text.len() - 1]).is_none());
}
