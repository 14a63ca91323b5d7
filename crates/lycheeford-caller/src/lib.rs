//! Placeholder for the caller package.
