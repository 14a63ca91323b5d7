use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Configuration, Key, Name};

const KEY_PREFIX: &str = "lf_";

/// Returns the configured key that `presented` matches, or `None` if it matches none.
///
/// A key has the form `lf_<id>_<secret>`. The configuration holds only salted digests, which are
/// compared in constant time, so that neither a reader of the configuration nor the response time
/// reveals a secret.
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

/// Returns the configuration entry of a key granted to `customer`, with a digest in place of the
/// secret.
///
/// The id must not contain an underscore, which separates the id from the secret in a presented
/// key.
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
