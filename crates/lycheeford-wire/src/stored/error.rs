use snafu::Snafu;

/// Why a stored object isn't one of ours.
///
/// Nothing is lost by it: the object stays as it is. It takes an operator to
/// restore or delete it, or the newer release that wrote it.
#[derive(Debug, Snafu)]
#[snafu(display("{code}; restore the object, or run the release that wrote it"))]
pub struct StoredError {
    code: Code,
}

#[derive(Debug, Snafu)]
enum Code {
    #[snafu(display("field {field} is not in strictly ascending order"))]
    Unsorted { field: &'static str },
    #[snafu(display("field {field} is above its bound of {bound}"))]
    AboveBound { field: &'static str, bound: u64 },
    #[snafu(display("field {field} is not in hex"))]
    NotHex { field: &'static str },
    #[snafu(display("field {field} names an id that was never given"))]
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

    /// Returns the field that is wrong.
    pub fn field(&self) -> &'static str {
        match self.code {
            Code::Unsorted { field }
            | Code::AboveBound { field, .. }
            | Code::NotHex { field }
            | Code::UnknownId { field } => field,
        }
    }
}
