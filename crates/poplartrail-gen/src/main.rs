//! Development tool that regenerates the committed message types of `poplartrail-wire`.
//!
//! Run `cargo run -p poplartrail-gen` after a change to `proto/poplartrail.proto`.

use std::{error::Error, path::Path};

/// Directory of the wire crate, relative to the directory of this crate.
const WIRE_DIR: &str = "../poplartrail-wire";

fn main() -> Result<(), Box<dyn Error>> {
    let wire_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join(WIRE_DIR);
    let descriptors = protox::compile(["poplartrail.proto"], [wire_dir.join("proto")])?;
    let mut config = prost_build::Config::new();
    config.bytes(["."]).out_dir(wire_dir.join("src/generated"));
    config.compile_fds(descriptors)?;
    Ok(())
}
