//! Placeholder for the platform package.
