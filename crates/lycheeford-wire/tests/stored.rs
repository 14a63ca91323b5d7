//! Stored forms: a written form reads back unchanged, and an invalid one names its field.

use assert_matches::assert_matches;
use lycheeford_policy::{
    AttemptId, GoneProofs, Host, Instance, LedgerBucket, LedgerClaim, LoadRequest, Name,
    ReplicaSet, ShareTable, TargetRecord,
};
use lycheeford_wire::stored::{
    StoredError, StoredHost, StoredLedgerBucket, StoredReplicaSet, StoredShareTable,
    StoredTargetRecord,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reads JSON as the stored form `S` of the domain type `D`.
fn read<S, D>(json: &str) -> Result<D, StoredError>
where
    S: DeserializeOwned,
    D: TryFrom<S, Error = StoredError>,
{
    D::try_from(serde_json::from_str::<S>(json).unwrap())
}

fn read_back<S, D>(value: &D) -> D
where
    S: DeserializeOwned + Serialize + for<'a> From<&'a D>,
    D: TryFrom<S, Error = StoredError>,
{
    read::<S, D>(&serde_json::to_string(&S::from(value)).unwrap()).unwrap()
}

#[test]
fn share_table_reads_back() {
    let me = Instance::new("a", 1);
    let hosts = ["a".into(), "b".into(), "c".into()];
    let table = ShareTable::create(&"pilots".into(), &me, &hosts);
    let restarted = Instance::new("a", 2);
    let table = table.claim(&"pilots".into(), &restarted, &hosts, &GoneProofs::default()).unwrap();
    assert_eq!(read_back::<StoredShareTable, ShareTable>(&table), table);
}

#[test]
fn replica_set_and_target_record_read_back() {
    let me = Instance::new("a", 1);
    let name = Name::from("ice-chart");
    let (set, replica) = ReplicaSet::default().decide(&"engine-1".into(), 2, &me).unwrap();
    assert_eq!(read_back::<StoredReplicaSet, ReplicaSet>(&set), set);
    let load = LoadRequest {
        order_id: &"a.1.1".into(),
        name: &name,
        memory_bytes: 5,
        replica: &replica,
        sender: &me,
        capacity_bytes: 10,
    };
    let record = TargetRecord::default().record_load(&load).unwrap();
    let record = record.set_aside(&"a.1.1".into()).unwrap();
    let (_, other) = set.decide(&"engine-2".into(), 2, &me).unwrap();
    let record = record.cancel(&"other".into(), &other).unwrap();
    let record = record.record_unload(&"a.1.2".into(), &name, &me).unwrap_or(record);
    assert_eq!(read_back::<StoredTargetRecord, TargetRecord>(&record), record);
}

#[test]
fn ledger_bucket_reads_back() {
    let claim = |key: &str| LedgerClaim {
        customer: "pilots".into(),
        key: key.into(),
        fingerprint: 7,
        attempt: AttemptId { sender: Instance::new("a", 1), number: 1 },
    };
    let claims = [claim("k1"), claim("k2"), claim("k3"), claim("k4")];
    let (bucket, _) = LedgerBucket::default().claim_all(5, &claims, &GoneProofs::default());
    let bucket = bucket.answer(5, &claims[0], 200, &[0, 255, b'"']).unwrap();
    let bucket = bucket.release(5, &claims[2]).unwrap();
    let bucket = bucket.mark_lost(5, &claims[3]).unwrap();
    assert!(
        serde_json::to_string(&StoredLedgerBucket::from(&bucket)).unwrap().len()
            <= bucket.size_bytes()
    );
    assert_eq!(read_back::<StoredLedgerBucket, LedgerBucket>(&bucket), bucket);
}

#[test]
fn host_keeps_the_form_of_the_platform() {
    let json = r#"{"name":"engine-1","role":"model_worker","memory_bytes":9,"checks_fence":true,
        "address":"127.0.0.1:80","failure_domain":"d1","state":"leaving"}"#;
    let host = read::<StoredHost, Host>(json).unwrap();
    assert_eq!(host, serde_json::from_str::<Host>(json).unwrap());
    assert_eq!(read_back::<StoredHost, Host>(&host), host);
}

struct InvalidCase {
    json: &'static str,
    field: &'static str,
    read: fn(&str) -> Option<StoredError>,
}

#[test]
fn invalid_forms_name_their_field() {
    let share = |json: &str| read::<StoredShareTable, ShareTable>(json).err();
    let replica = |json: &str| read::<StoredReplicaSet, ReplicaSet>(json).err();
    let target = |json: &str| read::<StoredTargetRecord, TargetRecord>(json).err();
    let ledger = |json: &str| read::<StoredLedgerBucket, LedgerBucket>(json).err();
    let host = |json: &str| read::<StoredHost, Host>(json).err();
    let cases = [
        InvalidCase {
            json: r#"{"creator":{"host":"a","incarnation":1},"entries":[
                {"holder":{"host":"a","incarnation":1},"share_ppm":600000},
                {"holder":{"host":"b","incarnation":1},"share_ppm":400001}]}"#,
            field: "entries.share_ppm",
            read: share,
        },
        InvalidCase {
            json: r#"{"creator":{"host":"a","incarnation":1},"entries":[
                {"holder":{"host":"b","incarnation":1},"share_ppm":1},
                {"holder":{"host":"a","incarnation":1},"share_ppm":1}]}"#,
            field: "entries.holder.host",
            read: share,
        },
        InvalidCase {
            json: r#"{"last_id":1,"replicas":[
                {"id":2,"target":"t","decider":{"host":"a","incarnation":1}}]}"#,
            field: "replicas.id",
            read: replica,
        },
        InvalidCase {
            json: r#"{"incarnation":1,"fence":0,"order":null,"reservations":[
                {"name":"m","memory_bytes":1,"replica":null},
                {"name":"m","memory_bytes":1,"replica":null}]}"#,
            field: "reservations.name",
            read: target,
        },
        InvalidCase {
            json: r#"{"clock_ms":1,"records":[{"customer":"c","key":"k","fingerprint":1,
                "sender":{"host":"a","incarnation":1},"attempt":1,"changed_ms":0,
                "state":{"answered":{"status":200,"body_hex":"zz"}}}]}"#,
            field: "records.state.answered.body_hex",
            read: ledger,
        },
        InvalidCase {
            json: r#"{"name":"w","role":"application_worker","services":["b","a"],
                "address":"127.0.0.1:80","failure_domain":"d1","state":"live"}"#,
            field: "services",
            read: host,
        },
    ];
    for case in cases {
        assert_matches!((case.read)(case.json), Some(error) if error.field() == case.field);
    }
}

fn read_all(value: &serde_json::Value) {
    fn read<S: DeserializeOwned, D: TryFrom<S>>(value: &serde_json::Value) {
        if let Ok(stored) = serde_json::from_value::<S>(value.clone()) {
            let _ = D::try_from(stored);
        }
    }
    read::<StoredShareTable, ShareTable>(value);
    read::<StoredReplicaSet, ReplicaSet>(value);
    read::<StoredTargetRecord, TargetRecord>(value);
    read::<StoredLedgerBucket, LedgerBucket>(value);
    read::<StoredHost, Host>(value);
}

/// Generates JSON of a stored form in which arbitrary values replace some fields.
fn damaged() -> impl Strategy<Value = String> {
    let forms = [
        r#"{"creator":{"host":"a","incarnation":1},"entries":[{"holder":{"host":"a","incarnation":@},
            "share_ppm":@,"taken":[{"from":[{"host":"a","incarnation":@}],"share_ppm":@}]},
            {"holder":{"host":"b","incarnation":@},"share_ppm":@}]}"#,
        r#"{"last_id":@,"replicas":[{"id":@,"target":"t","decider":{"host":"a","incarnation":@}}]}"#,
        r#"{"incarnation":@,"fence":@,"order":{"id":"o","fence":@,"sender":{"host":"a",
            "incarnation":@},"action":"load","name":"m"},"reservations":[{"name":"m",
            "memory_bytes":@,"replica":{"id":@,"decider":{"host":"a","incarnation":@}}}]}"#,
        r#"{"clock_ms":@,"records":[{"customer":"c","key":"k","fingerprint":@,"sender":{"host":"a",
            "incarnation":@},"attempt":@,"state":{"answered":{"status":200,"body_hex":@}},
            "changed_ms":@}]}"#,
    ];
    let value = prop_oneof![
        any::<u64>().prop_map(|number| number.to_string()),
        any::<u32>().prop_map(|number| number.to_string()),
        "[0-9a-f]{0,4}".prop_map(|hex| format!("\"{hex}\"")),
        Just("null".to_owned()),
        Just("-1".to_owned()),
        Just("1e30".to_owned()),
    ];
    (prop::sample::select(forms.to_vec()), prop::collection::vec(value, 8)).prop_map(
        |(form, values)| {
            values.into_iter().fold(form.to_owned(), |form, value| form.replacen('@', &value, 1))
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_096,
        rng_seed: RngSeed::Fixed(0x570e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_damaged_form_never_panics(text in damaged()) {
        if let Ok(value) = serde_json::from_str(&text) {
            read_all(&value);
        }
    }
}
