//! Placeholder for the fakes package.
