//! Regions in which the operations of a route or a workspace may run.

mod world;

use gateway::{
    catalog::Catalog,
    holders,
    message::{Access, ErrorCode, Statement},
    policy::Policy,
    regions::AllowedRegions,
};
use model::prelude::*;
use world::{BOUNDED, KEY, LATEST, World, begin, dc, read, write};

/// `dc-0` and `dc-1` are in `north`, `dc-2` is in `south`; the primary is in `dc-0`.
fn two_regions() -> FxHashMap<DcName, Box<str>> {
    (0..3)
        .map(|index| (dc(index), if index == 2 { "south".into() } else { "north".into() }))
        .collect()
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::new(names.iter().map(|name| Box::from(*name)))
}

/// A configuration in which workspace `alpha` is restricted to the regions.
fn catalog(generation: u64, regions: &[&str]) -> Catalog {
    let mut catalog = world::catalog(generation, 1e6, 100);
    catalog.workspaces[0].regions = only(regions);
    catalog
}

fn fleet(vms: usize, catalog: Catalog) -> World {
    let mut world = World::with_policy(vms, Policy::default(), two_regions());
    world.configure(catalog);
    world.run_for(4_000);
    world
}

/// The databases that ran statements whose identifier begins with the prefix.
fn databases_of(world: &World, prefix: &str) -> Vec<DatabaseName> {
    let runs = world.group.runs.iter().filter(|run| run.id.starts_with(prefix));
    runs.map(|run| run.database.clone()).collect()
}

/// Guards against reads that go to the nearest database although its region is not allowed.
#[test]
fn reads_leave_out_databases_of_other_regions() {
    let mut world = fleet(9, catalog(1, &["north"]));
    // A write lets the VMs know a position.
    let writer = world.open(2, LATEST, KEY);
    assert!(world.query(writer, "w", write("1")).succeeded());
    let (restricted, free) = (world.open(2, BOUNDED, KEY), world.open(2, BOUNDED, "key-b"));
    for round in 0..20 {
        assert!(world.query(restricted, &format!("r{round}"), read("1")).succeeded());
        assert!(world.query(free, &format!("f{round}"), read("1")).succeeded());
    }
    assert!(!databases_of(&world, "r").contains(&world::database_name(2)));
    assert!(databases_of(&world, "f").contains(&world::database_name(2)), "no restriction");
}

/// Guards against a caller that waits for a primary that it may not use, and against a body that reaches it.
#[test]
fn what_no_allowed_region_can_serve_is_refused_at_once() {
    let mut world = fleet(9, catalog(1, &["south"]));
    let writer = world.open(2, LATEST, KEY);
    let began = world.now;
    let response = world.query(writer, "w", write("1"));
    assert_eq!(response.error, Some(ErrorCode::Busy));
    assert!(world.now.since(began) <= DurationUs::from_ms(20), "it waited");
    assert_eq!(world.query(writer, "b", begin(Access::Write)).error, Some(ErrorCode::Busy));
    assert!(databases_of(&world, "w").is_empty());
    assert_eq!(world.engines[2].counts().region_refusals, 2);
    let free = world.open(2, LATEST, "key-b");
    assert!(world.query(free, "f", write("1")).succeeded());
}

/// Guards against a restriction of the route that replaces that of the workspace.
#[test]
fn restrictions_of_route_and_workspace_both_apply() {
    let mut catalog = catalog(1, &["north"]);
    if let Some(route) = catalog.routes.get_mut(BOUNDED) {
        route.regions = only(&["south"]);
    }
    let mut world = fleet(9, catalog);
    let reader = world.open(2, BOUNDED, KEY);
    assert_eq!(world.query(reader, "r", read("1")).error, Some(ErrorCode::Busy));
    assert!(databases_of(&world, "r").is_empty());
}

/// Guards against a configuration change that moves or fails a transaction in progress.
#[test]
fn transaction_keeps_the_regions_of_its_start() {
    let mut world = fleet(9, catalog(1, &["north"]));
    let caller = world.open(2, LATEST, KEY);
    assert!(world.query(caller, "a1", begin(Access::Write)).succeeded());
    assert!(world.query(caller, "a2", write("1")).succeeded());
    world.configure(catalog(2, &["south"]));
    assert!(world.query(caller, "a3", write("2")).succeeded());
    assert!(world.query(caller, "a4", Statement::Commit).succeeded());
    assert_eq!(world.query(caller, "b1", write("3")).error, Some(ErrorCode::Busy));
}

/// Guards against a body that passes through a VM in a region that is not allowed: the only VMs that could be
/// holders of the databases in `south` are those of `north`.
#[test]
fn holder_in_another_region_is_not_used() {
    let mut world = World::with_policy(2, Policy::default(), two_regions());
    world.configure(catalog(1, &["south"]));
    world.run_for(4_000);
    let names: Vec<VmName> = (0..2).map(world::vm_name).collect();
    let first = holders::choose(&world::database_name(2), names.iter()).remove(0);
    let vm = (0..2).find(|vm| names[*vm] != first).expect("the VM that is not the first holder");
    let free = world.open(vm, LATEST, "key-b");
    assert!(world.query(free, "f", write("1")).succeeded());
    let before = world.forwarded();
    let reader = world.open(vm, BOUNDED, KEY);
    for round in 0..5 {
        assert!(world.query(reader, &format!("r{round}"), read("1")).succeeded());
        world.run_for(200);
    }
    assert_eq!(world.forwarded(), before, "a read passed through the other VM");
    assert!(databases_of(&world, "r").iter().all(|name| *name == world::database_name(2)));
}

/// Guards against a planned failover to a database that the service's routes may not use.
#[test]
fn failover_prefers_an_allowed_region() {
    let mut catalog = world::catalog(1, 1e6, 100);
    for route in catalog.routes.values_mut() {
        route.regions = only(&["south"]);
    }
    let mut world = fleet(9, catalog);
    world.databases[0].leaving = true;
    world.publish_databases(2);
    world.run_for(3_000);
    assert_eq!(world.promotions, [world::database_name(2)]);
}
