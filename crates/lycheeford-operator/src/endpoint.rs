use http_types::Method;

/// An endpoint of the admin API, identified by its HTTP method and path.
///
/// The server and the client use the same table of methods and paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Configuration,
    Apply,
    InForce,
    Hosts,
    Targets,
    Models,
    Customers,
    Keys,
    GrantKey,
    WithdrawKey,
    Drain,
    Explain,
    Metrics,
    Health,
}

/// The endpoints in the order of their variants, so that a variant is its index.
const ENDPOINTS: [(Endpoint, Method, &str); 14] = [
    (Endpoint::Configuration, Method::Get, "/configuration"),
    (Endpoint::Apply, Method::Post, "/configuration"),
    (Endpoint::InForce, Method::Get, "/configuration/in-force"),
    (Endpoint::Hosts, Method::Get, "/hosts"),
    (Endpoint::Targets, Method::Get, "/targets"),
    (Endpoint::Models, Method::Get, "/models"),
    (Endpoint::Customers, Method::Get, "/customers"),
    (Endpoint::Keys, Method::Get, "/keys"),
    (Endpoint::GrantKey, Method::Post, "/keys"),
    (Endpoint::WithdrawKey, Method::Post, "/keys/withdraw"),
    (Endpoint::Drain, Method::Post, "/drain"),
    (Endpoint::Explain, Method::Post, "/explain"),
    (Endpoint::Metrics, Method::Get, "/metrics"),
    (Endpoint::Health, Method::Get, "/health"),
];

impl Endpoint {
    pub(crate) fn find(method: Method, path: &str) -> Option<Endpoint> {
        ENDPOINTS
            .iter()
            .find(|(_, known_method, known_path)| *known_method == method && *known_path == path)
            .map(|row| row.0)
    }

    pub(crate) fn method_and_path(self) -> (Method, &'static str) {
        let (_, method, path) = ENDPOINTS[self as usize];
        (method, path)
    }
}
