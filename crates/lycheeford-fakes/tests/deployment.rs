//! The generated files of every deployment pass lycheeford's own validation.

use lycheeford_config::{Document, Settings, check, merge};
use lycheeford_fakes::{Deployment, DeploymentKind};

#[test]
fn the_files_are_accepted() {
    struct Case {
        kind: DeploymentKind,
        daemons: usize,
        engines: usize,
        services: usize,
        models: usize,
        adapters: usize,
    }
    let case = |kind, daemons, engines, services, models, adapters| Case {
        kind,
        daemons,
        engines,
        services,
        models,
        adapters,
    };
    let cases = [
        case(DeploymentKind::Small, 6, 4, 2, 8, 6),
        case(DeploymentKind::Northpass, 6, 9, 3, 50, 40),
        case(DeploymentKind::Regulator, 6, 20, 3, 100, 120),
    ];
    for case in cases {
        let deployment = Deployment::new(case.kind, 7);
        for daemon in &deployment.daemons {
            let yaml = deployment.settings_yaml(daemon, deployment.platform);
            let settings = Settings::from_yaml(&yaml, "settings").unwrap();
            assert_eq!(settings.host, daemon.name);
            assert_eq!(settings.caller_address, daemon.caller);
        }
        let base = serde_yaml_ng::to_string(&deployment.base).unwrap();
        let overlay = serde_yaml_ng::to_string(&deployment.overlay).unwrap();
        let base = Document::from_yaml(&base, "base").unwrap();
        let overlay = Document::from_yaml(&overlay, "overlay").unwrap();
        let configuration = check(&merge(&base, &overlay)).unwrap();
        let counted = (
            deployment.daemons.len(),
            deployment.engines.len(),
            deployment.services.len(),
            configuration.models.len(),
            configuration.adapters.len(),
            configuration.customers.len(),
        );
        let wanted = (case.daemons, case.engines, case.services, case.models, case.adapters, 5);
        assert_eq!(counted, wanted);
        let hosts = deployment.hosts();
        assert_eq!(hosts.len(), case.daemons + case.engines + case.services);
        assert!(hosts.is_sorted_by_key(|host| &host.address));
    }
}
