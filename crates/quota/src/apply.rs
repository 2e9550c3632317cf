//! Applies the portion controller's allocation to the rate limiter.

use board::Board;
use model::prelude::*;

use crate::{
    bucket::RateLimit, lenders::LenderDirectory, objects::TOTAL_PARTS, portions::PortionController,
    rate_limiter::RateLimiter,
};

/// Sets the limits of each workspace by this VM's portion, and the VMs to ask for tokens.
pub fn apply_allocation(
    board: &Board,
    controller: &PortionController,
    limiter: &mut RateLimiter,
    now: MonoTime,
) {
    let cfg = &board.catalog.cfg;
    limiter.retain(|name| board.catalog.workspace(name.as_str()).is_some());
    for workspace in &cfg.workspaces {
        let parts = controller.allocation().parts.get(&workspace.name).copied().unwrap_or(0);
        let of = |parts: u32| {
            RateLimit::new(
                workspace.rate_per_s,
                workspace.burst,
                u64::from(parts),
                u64::from(TOTAL_PARTS),
            )
        };
        limiter.set_limits(&workspace.name, of(TOTAL_PARTS), of(parts), now);
    }
    let object = controller.object().map(|(_, object)| object.clone()).unwrap_or_default();
    let dcs: Vec<DcName> = cfg.data_centres.iter().map(|dc| dc.name.clone()).collect();
    let me = &board.fleet.me;
    let directory = LenderDirectory::new(controller.me(), &me.dc, object, &board.fleet.vms, &dcs);
    limiter.set_directory(directory);
}
