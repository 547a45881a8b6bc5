//! The restart of a node at the same address.
//!
//! Guards against a peer that keeps waiting on its connection to the old process until it takes the
//! node for silent, instead of closing the connection at once.

use std::time::Duration;

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
};
use test_case::test_case;

/// Requests before and after the restart.
const REQUESTS: usize = 20;

#[test_case(true; "killed")]
#[test_case(false; "asked to stop")]
fn restarted_node_is_not_silent(is_killed: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let plan = FleetPlan::new(include_str!("bases/chain.toml"))
            .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
            .node(NodePlan::new("middle-a1", "middle", "zone-a"))
            .extra_settings("[stop]\ndrain_s = 10\nlinger_ms = 100\n");
        let mut fleet = Fleet::start(plan).await;
        let caller = fleet.caller(0);
        for _ in 0..REQUESTS {
            assert_eq!(caller.send(&Call::get("/before")).await.unwrap().status, 200);
        }
        if !is_killed {
            fleet.nodes[1].daemon.signal("TERM");
            assert_eq!(fleet.nodes[1].daemon.wait(Duration::from_secs(30)), Some(0));
        }
        fleet.restart(1);
        fleet.await_serving().await;
        for _ in 0..REQUESTS {
            // The first requests may find no instance, until the new process has been announced.
            caller.send(&Call::get("/after")).await.unwrap();
        }
        let log = fleet.log_addr.to_string();
        let args = ["timeline", "--json", "--log", &log, "--node", "front-a1", "--kind", "silent"];
        let (code, silent) = fleet.run_tool(&args.map(str::to_owned));
        assert_eq!(
            (code, silent.trim()),
            (0, ""),
            "a connection to the old process was kept until it was silent"
        );
    });
}
