//! Hands what the controller has put in force to the accounts.

use board::Board;
use model::prelude::*;

use crate::{
    bucket::Portion, lenders::Directory, objects::PARTS, portions::PortionController, rates::Rates,
};

/// Gives each workspace's account its portion, and tells whom to ask for tokens.
pub fn put_in_force(
    board: &Board,
    controller: &PortionController,
    rates: &mut Rates,
    now: MonoTime,
) {
    let cfg = &board.catalog.cfg;
    rates.retain(|name| board.catalog.workspace(name.as_str()).is_some());
    for workspace in &cfg.workspaces {
        let parts = controller.in_force().parts.get(&workspace.name).copied().unwrap_or(0);
        let of = |parts: u32| {
            Portion::new(workspace.rate_per_s, workspace.burst, u64::from(parts), u64::from(PARTS))
        };
        rates.set_portion(&workspace.name, of(PARTS), of(parts), now);
    }
    let object = controller.object().map(|(_, object)| object.clone()).unwrap_or_default();
    let dcs: Vec<DcName> = cfg.data_centres.iter().map(|dc| dc.name.clone()).collect();
    let me = &board.fleet.me;
    let directory = Directory::new(controller.me(), &me.dc, object, &board.fleet.vms, &dcs);
    rates.set_directory(directory);
}
