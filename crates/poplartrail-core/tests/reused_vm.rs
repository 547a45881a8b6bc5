//! A VM that is reassigned from one service to another.

use poplartrail_core::{
    call::ShedPosition,
    names::{ServiceName, VmName, ZoneName},
    policy::RankIndex,
    route::{Instance, InstanceChoice, Router},
    time::Time,
};

const NOW: Time = Time::from_millis(10);

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn instance(incarnation: u64) -> Instance {
    let (vm, zone) = (VmName::new("vm-4").unwrap(), ZoneName::new("zone-a").unwrap());
    Instance::new(NOW, vm, zone, "127.0.0.1:7000".parse().unwrap(), incarnation, 1)
}

fn choice(router: &Router, name: &str) -> InstanceChoice {
    router.choose(NOW, &service(name), RankIndex(0), ShedPosition(0), None, 7)
}

#[test]
fn vm_serves_only_its_newest_service() {
    let mut router = Router::new(ZoneName::new("zone-a").unwrap());
    let key = router.upsert(&service("stores"), instance(1));
    assert_eq!(choice(&router, "stores"), InstanceChoice::Send(key));
    let key = router.upsert(&service("billing"), instance(2));
    assert_eq!(choice(&router, "billing"), InstanceChoice::Send(key));
    assert_eq!(choice(&router, "stores"), InstanceChoice::NoInstance);
}

#[test]
fn late_announcement_of_older_service_is_ignored() {
    let mut router = Router::new(ZoneName::new("zone-a").unwrap());
    router.upsert(&service("billing"), instance(2));
    let key = router.upsert(&service("stores"), instance(1));
    assert_eq!(choice(&router, "billing"), InstanceChoice::Send(key));
    assert_eq!(choice(&router, "stores"), InstanceChoice::NoInstance);
}
