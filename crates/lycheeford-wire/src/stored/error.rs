use snafu::Snafu;

/// A failure to convert a stored object to its domain type.
///
/// The object is left unchanged, so no data is lost. An operator must restore
/// or delete it, or run the newer release that wrote it.
#[derive(Debug, Snafu)]
#[snafu(display("{code}; restore the object, or run the release that wrote it"))]
pub struct StoredError {
    code: Code,
}

#[derive(Debug, Snafu)]
enum Code {
    #[snafu(display("field {field} is not in strictly ascending order"))]
    Unsorted { field: &'static str },
    #[snafu(display("field {field} is above its limit of {bound}"))]
    AboveBound { field: &'static str, bound: u64 },
    #[snafu(display("field {field} is not a valid hex string"))]
    NotHex { field: &'static str },
    #[snafu(display("field {field} contains an id that was never assigned"))]
    UnknownId { field: &'static str },
}

impl StoredError {
    pub(crate) fn unsorted(field: &'static str) -> StoredError {
        StoredError { code: Code::Unsorted { field } }
    }

    pub(crate) fn above_bound(field: &'static str, bound: u64) -> StoredError {
        StoredError { code: Code::AboveBound { field, bound } }
    }

    pub(crate) fn not_hex(field: &'static str) -> StoredError {
        StoredError { code: Code::NotHex { field } }
    }

    pub(crate) fn unknown_id(field: &'static str) -> StoredError {
        StoredError { code: Code::UnknownId { field } }
    }

    /// Returns the path of the invalid field within the object.
    pub fn field(&self) -> &'static str {
        match self.code {
            Code::Unsorted { field }
            | Code::AboveBound { field, .. }
            | Code::NotHex { field }
            | Code::UnknownId { field } => field,
        }
    }
}
