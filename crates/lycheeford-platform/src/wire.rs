use lycheeford_policy::Name;
use snafu::ensure;

use crate::error::{DisorderedSnafu, OtherObjectSnafu};
use crate::{Listing, Object, PlatformError, RawJson, UnreadableValue, WatchBatch, WatchEvent};

/// Decodes the answer to a read of one object.
pub(crate) fn object(raw: RawJson<'_>, kind: &str, name: &str) -> Result<Object, PlatformError> {
    let version = version(raw)?;
    let object = any_object(raw, version)?;
    check_kind(&object, kind)?;
    ensure!(object.name.as_str() == name, OtherObjectSnafu { kind, name: object.name.clone() });
    Ok(object)
}

/// Decodes the version of an object.
pub(crate) fn version(raw: RawJson<'_>) -> Result<u64, UnreadableValue> {
    raw.required("version")?.decode()
}

/// Decodes a list of objects of a kind.
pub(crate) fn listing(raw: RawJson<'_>, kind: &str) -> Result<Listing, PlatformError> {
    let revision = raw.required("revision")?.decode()?;
    let mut listing = Listing { revision, ..Listing::default() };
    for item in raw.required("objects")?.items()? {
        let Ok(object) = any_object(item, revision) else {
            listing.unnamed += 1;
            continue;
        };
        check_kind(&object, kind)?;
        ensure!(object.version <= revision, DisorderedSnafu { version: object.version });
        listing.objects.push(object);
    }
    let objects = &mut listing.objects;
    objects.sort_unstable_by(|left, right| left.name.cmp(&right.name));
    if let Some(pair) = objects.windows(2).find(|pair| pair[0].name == pair[1].name) {
        return Err(DisorderedSnafu { version: pair[1].version }.build().into());
    }
    Ok(listing)
}

/// Decodes the changes of a kind.
pub(crate) fn watch_batch(raw: RawJson<'_>, kind: &str) -> Result<WatchBatch, PlatformError> {
    let revision = raw.required("revision")?.decode()?;
    let mut batch = WatchBatch { revision, ..WatchBatch::default() };
    let mut newest = 0;
    for item in raw.required("events")?.items()? {
        let Ok(object) = item.required("object").and_then(|raw| any_object(raw, revision)) else {
            batch.unnamed += 1;
            continue;
        };
        check_kind(&object, kind)?;
        let version = object.version;
        // An object without a readable version has that of the batch, whatever comes after it.
        if item.required("object").and_then(self::version).is_ok() {
            ensure!(version > newest && version <= revision, DisorderedSnafu { version });
            newest = version;
        }
        batch.events.push(WatchEvent::new(object, item.field("deleted")));
    }
    Ok(batch)
}

/// Decodes an object; an unreadable version counts as `revision`, up to which the answer includes
/// all changes.
///
/// # Errors
///
/// Fails if the kind or the name can't be read. An unreadable version or value makes the value
/// unreadable.
fn any_object(raw: RawJson<'_>, revision: u64) -> Result<Object, UnreadableValue> {
    let kind: Name = raw.required("kind")?.decode()?;
    let name: Name = raw.required("name")?.decode()?;
    Ok(Object::new(kind, name, version(raw), raw.field("value"), revision))
}

fn check_kind(object: &Object, kind: &str) -> Result<(), PlatformError> {
    let Object { kind: found, name, .. } = object;
    ensure!(found.as_str() == kind, OtherObjectSnafu { kind: found.clone(), name: name.clone() });
    Ok(())
}
