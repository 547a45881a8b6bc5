//! Settings file of a node: the shipped example is valid, and errors name the remedy.

use poplartrail_settings::node::NodeSettings;
use test_case::test_case;

const EXAMPLE: &str = include_str!("../../../examples/node.toml");

fn parse(text: &str) -> Result<NodeSettings, String> {
    NodeSettings::parse("node.toml", text, &mut |_| Ok(Vec::new())).map_err(|err| err.to_string())
}

#[test]
fn example_is_valid() {
    let settings = parse(EXAMPLE).expect("the example is valid");
    assert_eq!(settings.vm.as_str(), "routes-a1");
    assert_eq!(settings.seeds.len(), 1);
}

#[test_case("drain_s = 60", "drain_s = 0", "stop.drain_s is 0: set it between 1 and 86400"; "drain")]
#[test_case("poll_ms = 5000", "poll_ms = 1", "platform.poll_ms is 1"; "poll")]
#[test_case("10.1.0.11:8080", "localhost:8080", "IP address and a port"; "name for an address")]
#[test_case("vm = \"routes-a1\"", "vm = \"Routes A1\"", "lower-case"; "bad name")]
#[test_case("events = 4096", "event = 4096", "event"; "unknown field")]
#[test_case("ledger_mb = 32", "ledger_mb = \"32\"", "ledger_mb"; "wrong type")]
fn error_names_remedy(from: &str, to: &str, remedy: &str) {
    assert!(EXAMPLE.contains(from), "the example contains {from}");
    let err = parse(&EXAMPLE.replacen(from, to, 1)).expect_err("the file is rejected");
    assert!(err.contains(remedy), "{remedy:?} in {err:?}");
}
