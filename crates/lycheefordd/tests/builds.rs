//! Operators see which build each daemon runs, as while a fleet is upgraded.

mod support;

use lycheeford_policy::build_name;

use crate::support::{Fleet, until};

#[async_std::test]
async fn each_daemon_tells_operators_its_build_and_those_of_the_others() {
    let fleet = Fleet::start("builds").await;
    let own = Some(build_name());
    for daemon in 0..fleet.daemons.len() {
        until("the builds of all daemons are known", async || {
            let hosts = fleet.operator(daemon).hosts().await.expect("the daemon answers");
            hosts.len() == fleet.daemons.len() && hosts.iter().all(|host| host.build == own)
        })
        .await;
        let metrics = fleet.operator(daemon).metrics().await.expect("the daemon answers");
        let expected = format!("lycheeford_build_info{{build=\"{}\"}} 1", build_name().as_str());
        assert!(metrics.contains(&expected), "{metrics}");
    }
}
