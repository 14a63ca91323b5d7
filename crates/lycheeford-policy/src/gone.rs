use crate::{Instance, Name};

/// The evidence that an instance can no longer send anything.
///
/// There are two proofs: the host was in the platform's list and has left it, or its own address
/// answered as a newer incarnation. A missed heartbeat or an expired lease is no proof, since a
/// paused process may resume.
///
/// ```
/// use lycheeford_policy::{GoneProofs, Instance, Name};
///
/// let mut proofs = GoneProofs::default();
/// proofs.set_listed_hosts(&[Name::from("a"), Name::from("b")]);
/// proofs.set_listed_hosts(&[Name::from("b")]);
/// assert!(proofs.is_gone(&Instance::new("a", 1)));
/// proofs.answered(&Instance::new("b", 7));
/// assert!(proofs.is_gone(&Instance::new("b", 6)));
/// assert!(!proofs.is_gone(&Instance::new("b", 7)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct GoneProofs {
    listed: Vec<Name>,
    left: Vec<Name>,
    newest: Vec<Instance>,
}

impl GoneProofs {
    /// Applies the platform's complete list of hosts, both live and leaving.
    ///
    /// A host that is listed again no longer counts as gone as a whole; its earlier incarnations
    /// are proven gone once the new incarnation answers.
    pub fn set_listed_hosts(&mut self, hosts: &[Name]) {
        let mut hosts = hosts.to_vec();
        hosts.sort_unstable();
        let gone = self.listed.iter().filter(|host| hosts.binary_search(host).is_err());
        self.left.extend(gone.cloned());
        self.left.sort_unstable();
        self.left.dedup();
        self.left.retain(|host| hosts.binary_search(host).is_err());
        self.listed = hosts;
    }

    /// Records that the address of the host of `instance` answered as this instance.
    pub fn answered(&mut self, instance: &Instance) {
        match self.newest.binary_search_by(|known| known.host.cmp(&instance.host)) {
            Ok(index) if self.newest[index].incarnation < instance.incarnation => {
                self.newest[index] = instance.clone();
            }
            Ok(_) => {}
            Err(index) => self.newest.insert(index, instance.clone()),
        }
    }

    /// Returns whether the instance is proven gone.
    pub fn is_gone(&self, instance: &Instance) -> bool {
        if self.left.binary_search(&instance.host).is_ok() {
            return true;
        }
        self.newest
            .binary_search_by(|known| known.host.cmp(&instance.host))
            .is_ok_and(|index| self.newest[index].succeeds(instance))
    }
}
