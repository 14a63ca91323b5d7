//! Placeholder for the peer package.
