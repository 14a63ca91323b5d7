//! Placeholder for the config package.
