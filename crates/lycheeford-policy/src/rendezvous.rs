use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// Returns the member of `hosts` that owns `key`, or `None` if `hosts` is empty.
///
/// All hosts that see the same members choose the same owner, and a member that leaves moves only
/// the keys that it owned. Ownership only avoids duplicate work; safety comes from conditional
/// updates. See docs/DESIGN.md.
pub fn rendezvous_owner<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a Name>,
) -> Option<&'a Name> {
    hosts.into_iter().max_by_key(|host| (weight(key, host), *host))
}

/// Returns `hosts` in the order in which they would own `key`.
pub fn rendezvous_rank<'a>(key: &str, hosts: &'a [Name]) -> Vec<&'a Name> {
    let mut ranked: Vec<&Name> = hosts.iter().collect();
    ranked.sort_by_key(|host| std::cmp::Reverse((weight(key, host), *host)));
    ranked
}

fn weight(key: &str, host: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(host.as_bytes(), 0))
}
