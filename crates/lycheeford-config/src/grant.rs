use lycheeford_policy::{Key, Name, granted_key};

/// The number of random bytes that [`generate_key`] needs, from the operating system's generator.
pub const KEY_RANDOM_BYTES: usize = ID_BYTES + SALT_BYTES + SECRET_BYTES;

const ID_BYTES: usize = 8;
const SALT_BYTES: usize = 16;
const SECRET_BYTES: usize = 32;

/// Generates an API key for `customer` and returns it with the text that callers present.
///
/// The text is `lf_ID_SECRET`, with the id and the secret in hex. It is shown
/// only once; the key contains only a salted digest of the secret's hex text.
///
/// ```
/// use lycheeford_config::{KEY_RANDOM_BYTES, generate_key};
/// use lycheeford_policy::Name;
///
/// let (key, secret) = generate_key(&Name::from("ferry-dispatch"), &[7; KEY_RANDOM_BYTES]);
/// assert!(secret.starts_with(&format!("lf_{}_", key.id)));
/// ```
pub fn generate_key(customer: &Name, random: &[u8; KEY_RANDOM_BYTES]) -> (Key, String) {
    let (id, rest) = random.split_at(ID_BYTES);
    let (salt, secret) = rest.split_at(SALT_BYTES);
    let id = hex::encode(id);
    let secret = hex::encode(secret);
    let key = granted_key(&id, &secret, salt, customer);
    (key, format!("lf_{id}_{secret}"))
}
