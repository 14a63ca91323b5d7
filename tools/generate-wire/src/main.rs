//! Generates the prost types of `lycheeford-wire` from its `.proto` file.
//!
//! Run it from the repository's root after changing the `.proto` file, with
//! `cargo run --manifest-path tools/generate-wire/Cargo.toml`, and commit the
//! output, so that the build needs no generator.

use std::error::Error;

const WIRE_PACKAGE: &str = "crates/lycheeford-wire";

fn main() -> Result<(), Box<dyn Error>> {
    let include = format!("{WIRE_PACKAGE}/proto");
    let descriptors = protox::compile(["peer.proto"], [&include])?;
    prost_build::Config::new()
        .out_dir(format!("{WIRE_PACKAGE}/src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
