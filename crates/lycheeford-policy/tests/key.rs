//! Tests of which presented API keys are accepted.

use lycheeford_policy::{Configuration, Key, Name, check_key, granted_key};

struct Case {
    name: &'static str,
    presented: &'static str,
    customer: Option<&'static str>,
}

#[test]
fn only_a_granted_key_is_accepted_for_its_customer() {
    let broken = Key { digest: Name::from("zz"), ..granted_key("k3", "c", b"salt", "pilots") };
    let empty = Key { digest: Name::from(""), ..granted_key("k4", "", b"salt", "pilots") };
    let configuration = Configuration {
        keys: vec![
            granted_key("k1", "a_b", b"salt", "pilots"),
            granted_key("k2", "b", &[0; 32], "registry"),
            broken,
            empty,
        ],
        ..Configuration::default()
    };
    let cases = [
        Case {
            name: "granted, underscore in secret",
            presented: "lf_k1_a_b",
            customer: Some("pilots"),
        },
        Case { name: "granted", presented: "lf_k2_b", customer: Some("registry") },
        Case { name: "secret of another key", presented: "lf_k2_a_b", customer: None },
        Case { name: "withdrawn or unknown id", presented: "lf_k9_b", customer: None },
        Case { name: "truncated secret", presented: "lf_k1_a", customer: None },
        Case { name: "no secret", presented: "lf_k1_", customer: None },
        Case { name: "no id", presented: "lf__b", customer: None },
        Case { name: "no prefix", presented: "k2_b", customer: None },
        Case { name: "prefix in upper case", presented: "LF_k2_b", customer: None },
        Case { name: "trailing space", presented: "lf_k2_b ", customer: None },
        Case { name: "stored digest is not hexadecimal", presented: "lf_k3_c", customer: None },
        Case { name: "stored digest and secret are empty", presented: "lf_k4_", customer: None },
        Case { name: "empty key", presented: "", customer: None },
    ];
    for case in cases {
        let customer = check_key(&configuration, case.presented).map(|key| key.customer.as_str());
        assert_eq!(customer, case.customer, "{}", case.name);
    }
}

/// The digest is SHA-256 over the bytes of the salt followed by the bytes of the secret, so that
/// the operator's tool and every daemon compute the same one. The expected value is the digest of
/// "abc" from FIPS 180-2.
#[test]
fn the_digest_is_sha256_over_salt_and_secret() {
    let key = granted_key("k1", "bc", b"a", "pilots");
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(key.digest.as_str(), expected);
    assert_eq!(key.salt.as_str(), "61");
}
