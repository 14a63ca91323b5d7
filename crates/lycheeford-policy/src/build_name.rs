use crate::Name;

/// The commit that the program was built from, if that was given when it was compiled.
const COMMIT: Option<&str> = option_env!("LYCHEEFORD_COMMIT");
const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Returns the name of this build: its version, and its commit if that is known.
///
/// It tells apart the builds that run side by side while a fleet is upgraded. It is for logs and
/// metrics only; what another host understands follows from what it sends.
pub fn build_name() -> Name {
    Name::from(match COMMIT {
        Some(commit) if !commit.is_empty() => format!("{VERSION}+{commit}"),
        _ => VERSION.to_owned(),
    })
}
