//! Placeholder for the operator package.
