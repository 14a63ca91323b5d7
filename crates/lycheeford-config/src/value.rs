use std::net::SocketAddr;

use serde_yaml_ng::Value;

use lycheeford_policy::{Access, Name, Repeat};

use crate::{LogLevel, STOP_GRACE_MS_MIN};

/// Why a value is invalid, and what to write instead.
#[derive(Debug)]
pub(crate) struct ValueError {
    pub(crate) message: String,
    pub(crate) remedy: String,
}

impl ValueError {
    fn new(message: impl Into<String>, remedy: impl Into<String>) -> ValueError {
        ValueError { message: message.into(), remedy: remedy.into() }
    }
}

const DURATION_UNITS: &[(&str, u64)] =
    &[("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];

const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("kB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
];

/// Reads a name, which is a string that isn't empty.
pub(crate) fn name(value: &Value) -> Result<Name, ValueError> {
    match value.as_str() {
        Some("") => Err(ValueError::new("is empty", "give a name")),
        Some(text) => Ok(Name::from(text)),
        None => {
            Err(ValueError::new("is not text", "write it as text, in quotes if it is a number"))
        }
    }
}

pub(crate) fn names(value: &Value) -> Result<Vec<Name>, ValueError> {
    let remedy = "write a list of names, such as [north, south]";
    let items = value.as_sequence().ok_or_else(|| ValueError::new("is not a list", remedy))?;
    items
        .iter()
        .map(|item| {
            name(item).map_err(|_| ValueError::new("contains an item that is not a name", remedy))
        })
        .collect()
}

pub(crate) fn boolean(value: &Value) -> Result<bool, ValueError> {
    value
        .as_bool()
        .ok_or_else(|| ValueError::new("is neither true nor false", "write true or false"))
}

/// Reads an unsigned integer that fits the type of its field.
pub(crate) fn integer<T: TryFrom<u64>>(value: &Value) -> Result<T, ValueError> {
    value.as_u64().and_then(|number| T::try_from(number).ok()).ok_or_else(|| {
        let bits = size_of::<T>() * 8;
        ValueError::new(
            "is not a whole number in range",
            format!("write a number from 0 that fits {bits} bits, without a unit"),
        )
    })
}

/// Reads a finite number of at least 0.
pub(crate) fn decimal(value: &Value) -> Result<f64, ValueError> {
    value.as_f64().filter(|number| number.is_finite() && *number >= 0.0).ok_or_else(|| {
        ValueError::new("is not a number of at least 0", "write a number, such as 8.0")
    })
}

/// Reads a duration as milliseconds, from a plain number of milliseconds or text with a unit.
pub(crate) fn duration_ms(value: &Value) -> Result<u64, ValueError> {
    quantity(value, DURATION_UNITS, "milliseconds", "\"5 s\"")
}

/// Reads a size as bytes, from a plain number of bytes or text with a unit.
pub(crate) fn size_bytes(value: &Value) -> Result<u64, ValueError> {
    quantity(value, SIZE_UNITS, "bytes", "\"4 MiB\"")
}

/// Reads an integer above zero that fits the type of its field.
pub(crate) fn positive<T: TryFrom<u64> + From<u8> + PartialOrd>(
    value: &Value,
) -> Result<T, ValueError> {
    above_zero(integer(value)?)
}

pub(crate) fn positive_decimal(value: &Value) -> Result<f64, ValueError> {
    above_zero(decimal(value)?)
}

/// Reads a duration above zero; see [`duration_ms`].
pub(crate) fn positive_duration_ms(value: &Value) -> Result<u64, ValueError> {
    above_zero(duration_ms(value)?)
}

/// Reads a shutdown grace period, which must be long enough for callers to switch hosts.
///
/// See [`duration_ms`] for the format.
pub(crate) fn stop_grace_ms(value: &Value) -> Result<u64, ValueError> {
    let grace_ms = duration_ms(value)?;
    if grace_ms < STOP_GRACE_MS_MIN {
        return Err(ValueError::new(
            "is too short for callers to switch hosts",
            format!("allow {STOP_GRACE_MS_MIN} ms or more"),
        ));
    }
    Ok(grace_ms)
}

/// Reads a size above zero; see [`size_bytes`].
pub(crate) fn positive_size_bytes(value: &Value) -> Result<u64, ValueError> {
    above_zero(size_bytes(value)?)
}

/// Reads an IP address with a port.
pub(crate) fn address(value: &Value) -> Result<SocketAddr, ValueError> {
    value.as_str().and_then(|text| text.parse().ok()).ok_or_else(|| {
        ValueError::new(
            "is not an address",
            "write an IP number and a port, such as 127.0.1.1:7001",
        )
    })
}

/// Reads whether callers of a route need a key.
pub(crate) fn access(value: &Value) -> Result<Access, ValueError> {
    one_of(value, &[("open", Access::Open), ("keyed", Access::Keyed)])
}

/// Reads whether a request may be sent more than once.
pub(crate) fn repeat(value: &Value) -> Result<Repeat, ValueError> {
    one_of(value, &[("idempotent", Repeat::Idempotent), ("at_most_once", Repeat::AtMostOnce)])
}

pub(crate) fn log_level(value: &Value) -> Result<LogLevel, ValueError> {
    one_of(
        value,
        &[
            ("error", LogLevel::Error),
            ("warning", LogLevel::Warning),
            ("info", LogLevel::Info),
            ("debug", LogLevel::Debug),
        ],
    )
}

fn above_zero<T: From<u8> + PartialOrd>(number: T) -> Result<T, ValueError> {
    if number > T::from(0) {
        return Ok(number);
    }
    Err(ValueError::new("is zero, which would allow nothing", "write a number above zero"))
}

fn quantity(
    value: &Value,
    units: &[(&str, u64)],
    plain_unit: &str,
    example: &str,
) -> Result<u64, ValueError> {
    if let Some(number) = value.as_u64() {
        return Ok(number);
    }
    let unit_names: Vec<&str> = units.iter().map(|(unit, _)| *unit).collect();
    let remedy = format!(
        "write a whole number of {plain_unit}, or text such as {example} with one of the units {}",
        unit_names.join(", ")
    );
    let text = value.as_str().ok_or_else(|| {
        ValueError::new("is neither a whole number nor text with a unit", &remedy)
    })?;
    let digits = text.trim_start().chars().take_while(char::is_ascii_digit).count();
    let (number, unit) = text.trim().split_at(digits);
    let number: u64 = number
        .parse()
        .map_err(|_| ValueError::new(format!("{text:?} has no whole number"), &remedy))?;
    let unit = unit.trim();
    let (_, factor) = units.iter().find(|(known, _)| *known == unit).ok_or_else(|| {
        ValueError::new(format!("{text:?} has the unknown unit {unit:?}"), &remedy)
    })?;
    number
        .checked_mul(*factor)
        .ok_or_else(|| ValueError::new(format!("{text:?} is too large"), &remedy))
}

fn one_of<T: Copy>(value: &Value, choices: &[(&str, T)]) -> Result<T, ValueError> {
    let found = value
        .as_str()
        .and_then(|text| choices.iter().find(|(choice, _)| *choice == text))
        .map(|(_, meaning)| *meaning);
    found.ok_or_else(|| {
        let names: Vec<&str> = choices.iter().map(|(choice, _)| *choice).collect();
        ValueError::new("is not one of the choices", format!("write one of {}", names.join(", ")))
    })
}
