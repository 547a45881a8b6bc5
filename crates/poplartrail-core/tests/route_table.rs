//! Selection of a route, the ranks derived from routes, and the split of a route among services.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use poplartrail_core::{
    names::{RouteName, ServiceName},
    policy::Bounds,
    site::{
        CallerLimits, HostRoutes, RouteRule, RouteTable, SiteConfig, SiteVersion, TrafficSplits,
        WeightedService,
    },
};
use test_case::test_case;

fn rule(name: &str, priority: u32, target_ms: u64) -> RouteRule {
    RouteRule {
        name: RouteName::new(name).unwrap(),
        is_idempotent: true,
        services: vec![weighted("routes", 1)],
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(target_ms),
        max_attempts: 2,
        priority,
    }
}

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService { service: ServiceName::new(service).unwrap(), weight }
}

fn table() -> RouteTable {
    let prefixes = [("/a/", "short", 1, 1_500), ("/a/b/", "long", 0, 200), ("/", "all", 1, 300)];
    let prefixes = prefixes
        .iter()
        .map(|(prefix, name, priority, target)| {
            (Arc::from(*prefix), rule(name, *priority, *target))
        })
        .collect();
    RouteTable::new(vec![HostRoutes { host: Arc::from("h.example"), prefixes }])
}

#[test_case("/a/x", Some("short"))]
#[test_case("/a/b/x", Some("long"))]
#[test_case("/a/b/", Some("long"))]
#[test_case("/a/b", Some("short"); "a prefix ends with its slash")]
#[test_case("/ab", Some("all"))]
fn longest_prefix_wins(path: &str, expected: Option<&str>) {
    let table = table();
    assert_eq!(table.find("h.example", path).map(|rule| rule.name.as_str()), expected);
    assert_eq!(table.find("other.example", path), None);
}

#[test]
fn ranks_follow_priority_and_target() {
    let site = SiteConfig {
        version: SiteVersion(1),
        routes: table(),
        services: vec![ServiceName::new("routes").unwrap()],
        limits: CallerLimits::default(),
        document: Bytes::new(),
    };
    let policy = site.policy(Bounds::default()).expect("a policy follows");
    let targets: Vec<u128> = policy.ranks.iter().map(|rank| rank.target.as_millis()).collect();
    assert_eq!(targets, [200, 300, 1_500]);
    let ranks = site.ranks();
    let rank = |path| ranks.rank_of(site.routes.find("h.example", path).unwrap()).unwrap();
    let index = |path| policy.ranks.find(rank(path)).unwrap().index();
    assert_eq!([index("/a/b/x"), index("/x"), index("/a/x")], [0, 1, 2]);
}

#[test_case(&[90, 10])]
#[test_case(&[1, 1, 1])]
#[test_case(&[7, 2, 1])]
#[test_case(&[100, 0])]
fn services_get_their_weights(weights: &[u32]) {
    let mut rule = rule("split", 1, 300);
    rule.services = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| weighted(&format!("s{index}"), *weight))
        .collect();
    let total: u32 = weights.iter().sum();
    for random in [0, 1, 17, 1 << 40] {
        let mut splits = TrafficSplits::default();
        let mut counts = vec![0; weights.len()];
        for _ in 0..total * 10 {
            let service = splits.next_service(&rule, random).expect("a service has a weight");
            let index =
                rule.services.iter().position(|weighted| weighted.service == service).unwrap();
            counts[index] += 1;
        }
        let expected: Vec<u32> = weights.iter().map(|weight| weight * 10).collect();
        assert_eq!(counts, expected, "start {random}");
    }
}

#[test]
fn changed_weights_apply_at_once() {
    let mut rule = rule("split", 1, 300);
    rule.services = vec![weighted("a", 1), weighted("b", 0)];
    let mut splits = TrafficSplits::default();
    assert_eq!(splits.next_service(&rule, 0).unwrap().as_str(), "a");
    rule.services = vec![weighted("a", 0), weighted("b", 1)];
    assert!((0..10).all(|_| splits.next_service(&rule, 0).unwrap().as_str() == "b"));
}
