//! Placeholder for the wire package.
