use std::borrow::Cow;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::UnreadableValue;

/// The bytes of one JSON value, found by its brackets and quotes but not decoded yet.
///
/// An answer of the platform holds values of many writers. If it were decoded as a whole, one
/// value that is nested too deeply, holds a number out of range or isn't UTF-8 would make the whole
/// answer unreadable. Finding the values takes time and memory in proportion to the bytes, whatever
/// they hold.
///
/// ```
/// use lycheeford_platform::RawJson;
///
/// let answer = RawJson::new(br#"{"items":[{"size":1e999},{"size":2}]}"#);
/// let sizes: Vec<Option<u64>> = answer
///     .required("items")?
///     .items()?
///     .iter()
///     .map(|item| item.required("size")?.decode())
///     .map(|size: Result<u64, _>| size.ok())
///     .collect();
/// assert_eq!(sizes, [None, Some(2)]);
/// # Ok::<(), lycheeford_platform::UnreadableValue>(())
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RawJson<'a>(&'a [u8]);

impl<'a> RawJson<'a> {
    /// Returns the value that these bytes hold.
    pub fn new(bytes: &'a [u8]) -> RawJson<'a> {
        RawJson(bytes.trim_ascii())
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't JSON, or the value isn't a `T`.
    pub fn decode<T: DeserializeOwned>(self) -> Result<T, UnreadableValue> {
        serde_json::from_slice(self.0).map_err(UnreadableValue::new)
    }

    /// Decodes a value of any type.
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't JSON, or the value is an object in which a field occurs twice:
    /// readers disagree about which of the two counts.
    pub fn decode_any(self) -> Result<Value, UnreadableValue> {
        if let Ok(mut fields) = self.fields() {
            fields.sort_unstable_by(|(left, _), (right, _)| left.cmp(right));
            if let Some(pair) = fields.windows(2).find(|pair| pair[0].0 == pair[1].0) {
                return Err(occurs_twice(&pair[0].0));
            }
        }
        self.decode()
    }

    /// Returns the value of a field of an object, or `None` if there is no such field.
    ///
    /// # Errors
    ///
    /// Fails if this isn't an object, or the field occurs twice.
    pub fn field(self, name: &str) -> Result<Option<RawJson<'a>>, UnreadableValue> {
        let mut found = None;
        for (key, value) in self.fields()? {
            if key == name && found.replace(value).is_some() {
                return Err(occurs_twice(name));
            }
        }
        Ok(found)
    }

    /// Returns the value of a field of an object.
    ///
    /// # Errors
    ///
    /// Fails if this isn't an object, or the field is missing or occurs twice.
    pub fn required(self, name: &str) -> Result<RawJson<'a>, UnreadableValue> {
        let missing = || UnreadableValue::new(format!("the field {name} is missing"));
        self.field(name)?.ok_or_else(missing)
    }

    /// Returns the items of a list.
    ///
    /// # Errors
    ///
    /// Fails if this isn't a list.
    pub fn items(self) -> Result<Vec<RawJson<'a>>, UnreadableValue> {
        let parts = self.parts(b'[', b']')?;
        Ok(parts.into_iter().map(RawJson::new).collect())
    }

    /// Returns the names and values of an object's fields; a name that can't be decoded is empty.
    fn fields(self) -> Result<Vec<(Cow<'a, str>, RawJson<'a>)>, UnreadableValue> {
        let field = |part: &'a [u8]| {
            let key_len = skip_string(part).ok_or_else(|| expected("a field's name"))?;
            let (key, rest) = part.split_at(key_len);
            let value = rest.trim_ascii_start().strip_prefix(b":");
            let value = value.ok_or_else(|| expected("a colon"))?;
            Ok((decode_key(key), RawJson::new(value)))
        };
        self.parts(b'{', b'}')?.into_iter().map(field).collect()
    }

    /// Splits what is between the brackets at its commas.
    fn parts(self, open: u8, close: u8) -> Result<Vec<&'a [u8]>, UnreadableValue> {
        let inner = self.0.strip_prefix(&[open]).and_then(|bytes| bytes.strip_suffix(&[close]));
        let inner = inner.ok_or_else(|| match open {
            b'{' => expected("an object"),
            _ => expected("a list"),
        })?;
        let mut parts = Vec::new();
        let mut rest = inner.trim_ascii();
        while !rest.is_empty() {
            let len = value_len(rest)?;
            let (part, after) = rest.split_at(len);
            parts.push(part.trim_ascii());
            rest = match after.split_first() {
                Some((_, after)) if after.trim_ascii().is_empty() => {
                    return Err(expected("a value after the last comma"));
                }
                Some((_, after)) => after.trim_ascii_start(),
                None => after,
            };
        }
        Ok(parts)
    }
}

/// Returns the length of the bytes up to the comma that ends the first value, or of all of them.
fn value_len(bytes: &[u8]) -> Result<usize, UnreadableValue> {
    let mut depth = 0_usize;
    let mut at = 0;
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'"' => {
                let len = skip_string(&bytes[at..]).ok_or_else(|| expected("a quote"))?;
                at += len;
                continue;
            }
            b'[' | b'{' => depth += 1,
            b']' | b'}' => {
                depth = depth.checked_sub(1).ok_or_else(|| expected("an opening bracket"))?;
            }
            b',' if depth == 0 => return Ok(at),
            _ => {}
        }
        at += 1;
    }
    if depth > 0 {
        return Err(expected("a closing bracket"));
    }
    Ok(at)
}

/// Returns the length of the string, with its quotes, at the start of the bytes.
fn skip_string(bytes: &[u8]) -> Option<usize> {
    let mut at = 1;
    bytes.strip_prefix(b"\"")?;
    loop {
        match bytes.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

fn decode_key(quoted: &[u8]) -> Cow<'_, str> {
    let inner = &quoted[1..quoted.len() - 1];
    match str::from_utf8(inner) {
        Ok(key) if !inner.contains(&b'\\') => Cow::Borrowed(key),
        _ => Cow::Owned(serde_json::from_slice(quoted).unwrap_or_default()),
    }
}

fn occurs_twice(field: &str) -> UnreadableValue {
    UnreadableValue::new(format!("the field {field} occurs twice"))
}

fn expected(what: &str) -> UnreadableValue {
    UnreadableValue::new(format!("{what} was expected"))
}
