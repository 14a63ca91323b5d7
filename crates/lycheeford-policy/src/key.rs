use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Configuration, Key, Name};

const KEY_PREFIX: &str = "lf_";

/// Finds the key that `presented` proves, or `None` if it proves none.
///
/// A key reads `lf_<id>_<secret>`. The configuration holds only salted
/// digests, compared in constant time, so that neither its reader nor the
/// time of an answer gives a secret away.
///
/// ```
/// use lycheeford_policy::{Configuration, check_key, granted_key};
///
/// let key = granted_key("k1", "s3cret", &[7; 16], "pilots");
/// let configuration = Configuration { keys: vec![key], ..Configuration::default() };
/// assert!(check_key(&configuration, "lf_k1_s3cret").is_some());
/// assert!(check_key(&configuration, "lf_k1_secret").is_none());
/// ```
pub fn check_key<'a>(configuration: &'a Configuration, presented: &str) -> Option<&'a Key> {
    let (id, secret) = presented.strip_prefix(KEY_PREFIX)?.split_once('_')?;
    let key = configuration.key(id)?;
    let salt = hex::decode(key.salt.as_str()).ok()?;
    let expected = hex::decode(key.digest.as_str()).ok()?;
    let matches: bool = digest(secret, &salt).as_slice().ct_eq(&expected).into();
    matches.then_some(key)
}

/// Returns what the configuration keeps of a key granted to `customer`.
///
/// The id must not contain an underscore, which ends it in a presented key.
pub fn granted_key(id: &str, secret: &str, salt: &[u8], customer: &str) -> Key {
    Key {
        id: Name::from(id),
        customer: Name::from(customer),
        salt: Name::from(hex::encode(salt)),
        digest: Name::from(hex::encode(digest(secret, salt))),
    }
}

fn digest(secret: &str, salt: &[u8]) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(secret.as_bytes());
    hasher.finalize().to_vec()
}
