//! Development command that regenerates the committed message types.
//!
//! Run `cargo run -p poplartrail-gen` after a change of the `.proto` file.

use std::{error::Error, path::Path};

/// Folder of the wire crate, from this crate's folder.
const WIRE: &str = "../poplartrail-wire";

fn main() -> Result<(), Box<dyn Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join(WIRE);
    let descriptors = protox::compile(["poplartrail.proto"], [wire.join("proto")])?;
    let mut config = prost_build::Config::new();
    config.bytes(["."]).out_dir(wire.join("src/generated"));
    config.compile_fds(descriptors)?;
    Ok(())
}
