pub mod exits;
pub mod forgotten;
pub mod holder;
pub mod orders;
pub mod replaced;
pub mod silent;
pub mod skewed;
pub mod statuses;
pub mod versions;

/// A configuration of one route to a service without an engine. The route is public, so that no
/// case depends on keys.
pub fn configuration(route: &str, service: &str) -> String {
    format!(
        r#"{{"Version":7,"Routes":[{route}],"Services":[{{"Name":"{service}","HealthPath":"/healthz","MaxConns":370}}],"Tenants":[{{"Name":"office","ApiKeys":["i9n73hh2b9wu3fexd9dn"],"Priority":0,"Unit":"token_rate","UncachedTokens":200,"RatePerS":1000000,"Burst":1000000}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000}}}}"#
    )
}
