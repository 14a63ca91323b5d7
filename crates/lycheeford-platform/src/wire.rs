use lycheeford_policy::Name;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ensure;

use crate::error::{DisorderedSnafu, OtherObjectSnafu, UndecodableSnafu};
use crate::{Listing, Object, PlatformError, WatchBatch, WatchEvent};

/// An object in an answer of the platform; the answer to a put omits the value.
#[derive(Debug, Deserialize)]
pub(crate) struct WireObject {
    kind: String,
    name: String,
    pub(crate) version: u64,
    #[serde(default)]
    value: Value,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WireListing {
    revision: u64,
    objects: Vec<WireObject>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WireWatch {
    revision: u64,
    events: Vec<WireEvent>,
}

#[derive(Debug, Deserialize)]
struct WireEvent {
    object: WireObject,
    #[serde(default)]
    deleted: bool,
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes)
        .map_err(|source| UndecodableSnafu { message: source.to_string() }.build().into())
}

pub(crate) fn check_object(
    object: &Object,
    kind: &str,
    name: Option<&str>,
) -> Result<(), PlatformError> {
    let is_requested =
        object.kind.as_str() == kind && name.is_none_or(|name| object.name.as_str() == name);
    ensure!(
        is_requested,
        OtherObjectSnafu { kind: object.kind.clone(), name: object.name.clone() }
    );
    Ok(())
}

impl From<WireObject> for Object {
    fn from(wire: WireObject) -> Object {
        Object {
            kind: Name::from(wire.kind),
            name: Name::from(wire.name),
            version: wire.version,
            value: wire.value,
        }
    }
}

impl From<WireEvent> for WatchEvent {
    fn from(wire: WireEvent) -> WatchEvent {
        let object = Object::from(wire.object);
        if wire.deleted {
            let Object { kind, name, version, .. } = object;
            return WatchEvent::Deleted { kind, name, version };
        }
        WatchEvent::Put(object)
    }
}

impl TryFrom<(WireListing, &str)> for Listing {
    type Error = PlatformError;

    fn try_from((wire, kind): (WireListing, &str)) -> Result<Listing, PlatformError> {
        let revision = wire.revision;
        let mut objects: Vec<Object> = wire.objects.into_iter().map(Object::from).collect();
        for object in &objects {
            check_object(object, kind, None)?;
            ensure!(object.version <= revision, DisorderedSnafu { version: object.version });
        }
        objects.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        if let Some(pair) = objects.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(DisorderedSnafu { version: pair[1].version }.build().into());
        }
        Ok(Listing { revision, objects })
    }
}

impl TryFrom<(WireWatch, &str)> for WatchBatch {
    type Error = PlatformError;

    fn try_from((wire, kind): (WireWatch, &str)) -> Result<WatchBatch, PlatformError> {
        let mut events = Vec::with_capacity(wire.events.len());
        let mut newest = 0;
        for wire_event in wire.events {
            let event = WatchEvent::from(wire_event);
            let version = event.version();
            ensure!(version > newest && version <= wire.revision, DisorderedSnafu { version });
            ensure!(
                event_kind(&event).as_str() == kind,
                OtherObjectSnafu { kind: event_kind(&event).clone(), name: event.name().clone() }
            );
            newest = version;
            events.push(event);
        }
        Ok(WatchBatch { revision: wire.revision, events })
    }
}

fn event_kind(event: &WatchEvent) -> &Name {
    match event {
        WatchEvent::Put(object) => &object.kind,
        WatchEvent::Deleted { kind, .. } => kind,
    }
}
