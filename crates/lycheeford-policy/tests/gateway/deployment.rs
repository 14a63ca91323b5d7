use lycheeford_policy::{CustomerKey, Deployment, KeyDigest, Name, RatedCustomer, ServiceRoute};

use crate::world::{name, route};

struct RouteCase {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

#[test]
fn the_longest_matching_path_prefix_wins() {
    let mut deployment = Deployment::default();
    for (host, prefix) in [("h.example", "/a/"), ("h.example", "/a/b/"), ("i.example", "/")] {
        deployment.routes.push(route(host, prefix, &[("s", 1)]));
    }
    deployment.routes.sort_by(|left, right| {
        (&left.host, &left.path_prefix).cmp(&(&right.host, &right.path_prefix))
    });
    let cases = [
        RouteCase { host: "h.example", path: "/a/x", found: Some("/a/") },
        RouteCase { host: "h.example", path: "/a/b/x/y", found: Some("/a/b/") },
        RouteCase { host: "h.example", path: "/a/bx", found: Some("/a/") },
        RouteCase { host: "h.example", path: "/a", found: None },
        RouteCase { host: "h.example", path: "/b/", found: None },
        RouteCase { host: "i.example", path: "/anything", found: Some("/") },
        RouteCase { host: "j.example", path: "/a/", found: None },
        RouteCase { host: "h.example", path: "", found: None },
    ];
    for case in cases {
        let found = deployment.route(case.host, case.path).map(|route| route.path_prefix.as_str());
        assert_eq!(found, case.found, "{} {}", case.host, case.path);
    }
}

#[test]
fn a_split_depends_only_on_its_weights_and_the_request_hash() {
    let route = route("h", "/", &[("large", 90), ("small", 10), ("none", 0)]);
    let counts = (0..1_000).fold([0, 0, 0], |mut counts, hash| {
        let service = route.service(hash).map(Name::as_str);
        assert_eq!(service, route.service(hash).map(Name::as_str));
        match service {
            Some("large") => counts[0] += 1,
            Some("small") => counts[1] += 1,
            _ => counts[2] += 1,
        }
        counts
    });
    assert_eq!(counts, [900, 100, 0]);
}

#[test]
fn keys_resolve_to_their_customer_and_are_hidden_in_debug_output() {
    let customer = RatedCustomer { name: name("office"), priority: None, rate: None };
    let key = CustomerKey { digest: KeyDigest::of("secret-key"), customer: name("office") };
    let deployment =
        Deployment { customers: vec![customer], keys: vec![key], ..Deployment::default() };
    assert_eq!(
        deployment.key_holder("secret-key").map(|holder| holder.name.as_str()),
        Some("office")
    );
    assert_eq!(deployment.key_holder("secret-kex"), None);
    assert!(!format!("{deployment:?}").contains("secret-key"));
}

/// Guards against another order where the routes of a priority share one objective.
#[test]
fn an_objective_counts_only_against_stricter_ones_of_its_service_and_priority() {
    let declared = |path: &str, service: &str, priority: u8, objective_ms: u64| ServiceRoute {
        priority,
        objective_ms,
        ..route("a.example", path, &[(service, 1)])
    };
    let deployment = Deployment {
        routes: vec![
            declared("/batch/", "models", 2, 5_000),
            declared("/fast/", "models", 0, 400),
            declared("/page/", "desk", 0, 100),
            declared("/slow/", "models", 0, 2_000),
        ],
        ..Deployment::default()
    };
    let cases = [("/batch/", 0), ("/fast/", 0), ("/page/", 0), ("/slow/", 1_600)];
    for (path, expected_ms) in cases {
        let route = deployment.route("a.example", path).unwrap();
        let service = &route.split[0].service;
        assert_eq!(deployment.objective_offset_ms(route, service), expected_ms, "{path}");
    }
}
