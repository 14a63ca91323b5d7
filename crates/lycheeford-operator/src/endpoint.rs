use http_types::Method;

/// A call of the admin API, with its place in HTTP.
///
/// The server and the client read the same table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Call {
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

const CALLS: [(Call, Method, &str); 14] = [
    (Call::Configuration, Method::Get, "/configuration"),
    (Call::Apply, Method::Post, "/configuration"),
    (Call::InForce, Method::Get, "/configuration/in-force"),
    (Call::Hosts, Method::Get, "/hosts"),
    (Call::Targets, Method::Get, "/targets"),
    (Call::Models, Method::Get, "/models"),
    (Call::Customers, Method::Get, "/customers"),
    (Call::Keys, Method::Get, "/keys"),
    (Call::GrantKey, Method::Post, "/keys"),
    (Call::WithdrawKey, Method::Post, "/keys/withdraw"),
    (Call::Drain, Method::Post, "/drain"),
    (Call::Explain, Method::Post, "/explain"),
    (Call::Metrics, Method::Get, "/metrics"),
    (Call::Health, Method::Get, "/health"),
];

impl Call {
    pub(crate) fn find(method: Method, path: &str) -> Option<Call> {
        CALLS.iter().find(|(_, own, place)| *own == method && *place == path).map(|call| call.0)
    }

    pub(crate) fn place(self) -> (Method, &'static str) {
        let (_, method, path) = CALLS[self as usize];
        (method, path)
    }
}
