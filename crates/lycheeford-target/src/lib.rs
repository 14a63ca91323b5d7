//! Placeholder for the target package.
