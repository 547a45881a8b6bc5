//! `verdict`: what became of a change.

use poplartrail_core::config::ChangeId;

use crate::{
    Exit, Options,
    commands::{out_of_reach, publish},
    fleet::FleetReader,
};

pub(crate) async fn run(options: &Options, change: &str) -> Exit {
    let Ok(id) = u128::from_str_radix(change, 16) else {
        eprintln!("poplartrail: {change:?} is no change: give the 32 digits that publish printed");
        return Exit::Refused;
    };
    let mut reader = match FleetReader::new(options.log) {
        Ok(reader) => reader,
        Err(err) => return out_of_reach(&err),
    };
    if let Err(err) = reader.read_config().await {
        return out_of_reach(&err);
    }
    let id = ChangeId(id);
    publish::tell(options.json, id, reader.history.verdict(id))
}
