//! `status`: shows the VMs, slots and generations that the data centres last reported.

use std::{collections::BTreeMap, time::Duration};

use config::Configuration;
use edge::{client::Client, platform::PlatformClient};
use http::Method;
use model::prelude::*;
use proto::report::{DcStatus, SlotReport};
use report::text::table;
use serde_json::{Value, json};

use crate::{
    error::CtlError,
    reply::Reply,
    rollout::{RolloutState, dc_status, describe, now_s, rollout_state},
    store::read_configuration,
};

const OPS_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the status of every data centre and shows the VMs, the slots with their primaries, and where the
/// current configuration is in force.
pub async fn status(platform: &PlatformClient) -> Result<Reply, CtlError> {
    let (_, cfg) = read_configuration(platform).await?;
    let mut statuses = Vec::new();
    for dc in &cfg.data_centres {
        statuses.push((dc.name.clone(), dc_status(platform, &dc.name).await?));
    }
    Ok(render(&cfg, &statuses, now_s()))
}

/// Formats the status of the fleet at `now_s` (Unix seconds), given the status of each data centre; a
/// status is absent if it was never written.
pub fn render(cfg: &Configuration, statuses: &[(DcName, Option<DcStatus>)], now_s: u64) -> Reply {
    let generation = cfg.generation;
    let mut text = format!("generation {} is accepted\n\n", generation.0);
    let states: Vec<(&DcName, RolloutState)> =
        statuses.iter().map(|(dc, s)| (dc, rollout_state(s.as_ref(), generation, now_s))).collect();
    let rows: Vec<Vec<String>> =
        states.iter().map(|(dc, state)| vec![dc.to_string(), describe(state)]).collect();
    text += &table(&["data centre", "configuration"], &rows);
    text += "\n";
    let vm_rows: Vec<Vec<String>> = statuses
        .iter()
        .flat_map(|(dc, status)| status.iter().flat_map(|s| vm_rows(dc, s)))
        .collect();
    text +=
        &table(&["VM", "data centre", "run", "generation", "portions", "heard", "state"], &vm_rows);
    text += "\n";
    let slots = latest_slot_reports(statuses);
    text += &table(
        &["slot", "term", "primary", "lag"],
        &slots.iter().map(slot_row).collect::<Vec<_>>(),
    );
    let dcs: Vec<Value> = statuses
        .iter()
        .zip(&states)
        .map(|((dc, status), (_, state))| json!({"dc": dc, "force": state, "status": status}))
        .collect();
    let json = json!({ "generation": generation, "data_centres": dcs, "slots": slots });
    Reply::new(text, json)
}

fn vm_rows(dc: &DcName, status: &DcStatus) -> Vec<Vec<String>> {
    let row = |(name, vm): (&VmName, &proto::report::VmStatus)| {
        let report = vm.report.as_ref();
        let number = |n: Option<u64>| n.map_or("-".to_owned(), |n| n.to_string());
        let heard = report.map(|_| status.written_at_s.saturating_sub(vm.heard_at_s));
        let state = match (report, vm.listed) {
            (Some(report), _) if report.stopping => "stopping".to_owned(),
            (Some(_), false) => "not on the platform's list".to_owned(),
            (Some(report), true) if !report.suspects.is_empty() => {
                let names: Vec<&str> = report.suspects.iter().map(VmName::as_str).collect();
                format!("can't reach {}", names.join(", "))
            }
            (Some(_), true) => "runs".to_owned(),
            (None, _) => "not heard of".to_owned(),
        };
        vec![
            name.to_string(),
            dc.to_string(),
            number(report.map(|r| r.incarnation.0)),
            number(report.map(|r| r.generation.0)),
            number(report.map(|r| r.portions)),
            heard.map_or("-".to_owned(), |s| format!("{s} s ago")),
            state,
        ]
    };
    status.vms.iter().map(row).collect()
}

/// Returns the report with the highest term for each slot.
fn latest_slot_reports(statuses: &[(DcName, Option<DcStatus>)]) -> Vec<SlotReport> {
    let mut slots: BTreeMap<(&ServiceName, &SlotName), &SlotReport> = BTreeMap::new();
    let statuses = statuses.iter().filter_map(|(_, status)| status.as_ref());
    let reports = statuses.flat_map(|s| s.vms.values()).filter_map(|vm| vm.report.as_ref());
    for slot in reports.flat_map(|report| &report.slots) {
        let known = slots.entry((&slot.service, &slot.slot)).or_insert(slot);
        if slot.term > known.term {
            *known = slot;
        }
    }
    slots.into_values().cloned().collect()
}

fn slot_row(slot: &SlotReport) -> Vec<String> {
    let primary = slot.primary.as_ref().map_or("none".to_owned(), ToString::to_string);
    let lag = slot.lag.iter().map(|(database, lag)| match lag {
        Some(entries) => format!("{database} {entries}"),
        None => format!("{database} unknown"),
    });
    vec![
        format!("{}/{}", slot.service, slot.slot),
        slot.term.0.to_string(),
        primary,
        lag.collect::<Vec<_>>().join(", "),
    ]
}

/// Queries the operators' listeners of VMs directly, for use while the platform is down. A VM that does
/// not answer has an `error` in place of its state.
pub async fn query_vms(addresses: &[String]) -> Reply {
    let client = Client::new("jasminepassctl");
    let mut states = Vec::new();
    for address in addresses {
        let sent =
            client.send(address, Method::GET, "/state", &[], Default::default(), OPS_TIMEOUT);
        let state = match sent.await {
            Ok(reply) => serde_json::from_slice(&reply.body).unwrap_or(Value::Null),
            Err(error) => json!({ "error": error.to_string() }),
        };
        states.push(json!({ "address": address, "state": state }));
    }
    let json = json!({ "vms": states });
    Reply::new(format!("{json:#}\n"), json)
}
