//! The client of the daemon's store after the store was restored from an older copy.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use lycheeford_fakes::FakePlatform;
use lycheeford_platform::{
    Category, Expect, HttpObjectStore, ObjectStore, PlatformError, PlatformLimits,
};
use serde_json::json;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn is_refused<T: std::fmt::Debug>(result: Result<T, PlatformError>) -> bool {
    let error = result.unwrap_err();
    error.category() == Category::Unavailable && error.to_string().contains("restored")
}

#[async_std::test]
async fn a_client_that_knew_the_store_before_a_restore_makes_no_more_calls() {
    let platform = FakePlatform::start(ANY_PORT).await.unwrap();
    let client = || HttpObjectStore::new(platform.address(), PlatformLimits::default());
    let store = client();
    let first = store.put("ledger", "a", json!(1), Expect::Absent).await.unwrap();
    let second = store.put("ledger", "a", json!(2), Expect::Version(first)).await.unwrap();
    platform.restore(first).await;
    assert!(is_refused(store.get("ledger", "a").await));
    let made = platform.calls();
    assert!(is_refused(store.put("ledger", "a", json!(3), Expect::Version(second)).await));
    assert!(is_refused(store.list("ledger").await));
    assert!(is_refused(store.watch("ledger", second, 0).await));
    assert_eq!(platform.calls(), made, "no call is sent");
    // A client that starts afterwards has nothing that the restore could have undone.
    let object = client().get("ledger", "a").await.unwrap().unwrap();
    assert_eq!((object.version, object.value), (first, Ok(json!(1))));
}

#[async_std::test]
async fn a_write_whose_answer_shows_the_restore_has_an_unknown_outcome() {
    let platform = FakePlatform::start(ANY_PORT).await.unwrap();
    let store = HttpObjectStore::new(platform.address(), PlatformLimits::default());
    let first = store.put("ledger", "a", json!(1), Expect::Absent).await.unwrap();
    platform.restore(first).await;
    let written = store.put("ledger", "a", json!(2), Expect::Version(first)).await;
    assert_eq!(written.unwrap_err().category(), Category::OutcomeUnknown);
}
