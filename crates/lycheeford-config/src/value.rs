use std::net::SocketAddr;

use serde_yaml_ng::Value;

use lycheeford_policy::{Access, Name, Repeat};

use crate::{LogLevel, STOP_GRACE_MS_MIN};

/// Why a value was refused, and what to write instead.
#[derive(Debug)]
pub(crate) struct Problem {
    pub(crate) message: String,
    pub(crate) remedy: String,
}

impl Problem {
    fn new(message: impl Into<String>, remedy: impl Into<String>) -> Problem {
        Problem { message: message.into(), remedy: remedy.into() }
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

/// Reads a name: a string that isn't empty.
pub(crate) fn name(value: &Value) -> Result<Name, Problem> {
    match value.as_str() {
        Some("") => Err(Problem::new("is empty", "give a name")),
        Some(text) => Ok(Name::from(text)),
        None => Err(Problem::new("is not text", "write it as text, in quotes if it is a number")),
    }
}

/// Reads a list of names.
pub(crate) fn names(value: &Value) -> Result<Vec<Name>, Problem> {
    let remedy = "write a list of names, such as [north, south]";
    let items = value.as_sequence().ok_or_else(|| Problem::new("is not a list", remedy))?;
    items
        .iter()
        .map(|item| {
            name(item).map_err(|_| Problem::new("holds something other than a name", remedy))
        })
        .collect()
}

/// Reads `true` or `false`.
pub(crate) fn truth(value: &Value) -> Result<bool, Problem> {
    value.as_bool().ok_or_else(|| Problem::new("is neither true nor false", "write true or false"))
}

/// Reads a whole number that fits its field.
pub(crate) fn whole<T: TryFrom<u64>>(value: &Value) -> Result<T, Problem> {
    value.as_u64().and_then(|number| T::try_from(number).ok()).ok_or_else(|| {
        let bits = size_of::<T>() * 8;
        Problem::new(
            "is not a whole number in range",
            format!("write a number from 0 that fits {bits} bits, without a unit"),
        )
    })
}

/// Reads a number that isn't negative.
pub(crate) fn decimal(value: &Value) -> Result<f64, Problem> {
    value
        .as_f64()
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or_else(|| Problem::new("is not a number of at least 0", "write a number, such as 8.0"))
}

/// Reads a duration as milliseconds: a plain number of them, or text with a unit.
pub(crate) fn duration_ms(value: &Value) -> Result<u64, Problem> {
    quantity(value, DURATION_UNITS, "milliseconds", "\"5 s\"")
}

/// Reads a size as bytes: a plain number of them, or text with a unit.
pub(crate) fn size_bytes(value: &Value) -> Result<u64, Problem> {
    quantity(value, SIZE_UNITS, "bytes", "\"4 MiB\"")
}

/// Reads a whole number above zero that fits its field.
pub(crate) fn positive<T: TryFrom<u64> + From<u8> + PartialOrd>(
    value: &Value,
) -> Result<T, Problem> {
    above_zero(whole(value)?)
}

/// Reads a number above zero.
pub(crate) fn positive_decimal(value: &Value) -> Result<f64, Problem> {
    above_zero(decimal(value)?)
}

/// Reads a duration above zero; see [`duration_ms`].
pub(crate) fn positive_duration_ms(value: &Value) -> Result<u64, Problem> {
    above_zero(duration_ms(value)?)
}

/// Reads a grace in which callers can move on; see [`duration_ms`].
pub(crate) fn stop_grace_ms(value: &Value) -> Result<u64, Problem> {
    let grace_ms = duration_ms(value)?;
    if grace_ms < STOP_GRACE_MS_MIN {
        return Err(Problem::new(
            "is too short for callers to move on",
            format!("allow {STOP_GRACE_MS_MIN} ms or more"),
        ));
    }
    Ok(grace_ms)
}

/// Reads a size above zero; see [`size_bytes`].
pub(crate) fn positive_size_bytes(value: &Value) -> Result<u64, Problem> {
    above_zero(size_bytes(value)?)
}

/// Reads an IP number with a port.
pub(crate) fn address(value: &Value) -> Result<SocketAddr, Problem> {
    value.as_str().and_then(|text| text.parse().ok()).ok_or_else(|| {
        Problem::new("is not an address", "write an IP number and a port, such as 127.0.1.1:7001")
    })
}

/// Reads the access of a route.
pub(crate) fn access(value: &Value) -> Result<Access, Problem> {
    one_of(value, &[("open", Access::Open), ("keyed", Access::Keyed)])
}

/// Reads whether a call may be repeated.
pub(crate) fn repeat(value: &Value) -> Result<Repeat, Problem> {
    one_of(value, &[("idempotent", Repeat::Idempotent), ("at_most_once", Repeat::AtMostOnce)])
}

/// Reads a log level.
pub(crate) fn log_level(value: &Value) -> Result<LogLevel, Problem> {
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

fn above_zero<T: From<u8> + PartialOrd>(number: T) -> Result<T, Problem> {
    if number > T::from(0) {
        return Ok(number);
    }
    Err(Problem::new("is zero, which would allow nothing", "write a number above zero"))
}

fn quantity(
    value: &Value,
    units: &[(&str, u64)],
    plain_unit: &str,
    example: &str,
) -> Result<u64, Problem> {
    if let Some(number) = value.as_u64() {
        return Ok(number);
    }
    let unit_names: Vec<&str> = units.iter().map(|(unit, _)| *unit).collect();
    let remedy = format!(
        "write a whole number of {plain_unit}, or text such as {example} with one of the units {}",
        unit_names.join(", ")
    );
    let text = value.as_str().ok_or_else(|| Problem::new("is not a quantity", &remedy))?;
    let digits = text.trim_start().chars().take_while(char::is_ascii_digit).count();
    let (number, unit) = text.trim().split_at(digits);
    let number: u64 = number
        .parse()
        .map_err(|_| Problem::new(format!("{text:?} has no whole number"), &remedy))?;
    let unit = unit.trim();
    let (_, factor) = units
        .iter()
        .find(|(known, _)| *known == unit)
        .ok_or_else(|| Problem::new(format!("{text:?} has the unknown unit {unit:?}"), &remedy))?;
    number
        .checked_mul(*factor)
        .ok_or_else(|| Problem::new(format!("{text:?} is too large"), &remedy))
}

fn one_of<T: Copy>(value: &Value, choices: &[(&str, T)]) -> Result<T, Problem> {
    let found = value
        .as_str()
        .and_then(|text| choices.iter().find(|(choice, _)| *choice == text))
        .map(|(_, meaning)| *meaning);
    found.ok_or_else(|| {
        let names: Vec<&str> = choices.iter().map(|(choice, _)| *choice).collect();
        Problem::new("is not one of the choices", format!("write one of {}", names.join(", ")))
    })
}
