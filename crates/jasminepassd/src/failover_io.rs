//! Carries out the effects of the promotion controller: calls to the admin addresses of databases.

use std::{sync::Arc, time::Duration};

use board::{Board, SlotKey};
use edge::client::Client;
use failover::promotion::{
    CallResult, PromotionAction, PromotionCall, PromotionEffect, PromotionEvent,
};
use model::prelude::*;
use proto::database::{DatabaseError, Fence, Follow, Promote, SlotStatus};
use serde::Serialize;

use crate::{app::App, counters::Counter, event::Event};

/// Time limit of a call.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Carries out an effect in the background.
pub fn carry_out(app: &Arc<App>, effect: PromotionEffect) {
    match effect {
        PromotionEffect::Call(call) => {
            tokio::spawn(run(app.clone(), call));
        }
        PromotionEffect::Promoted { slot, term, primary } => {
            app.counters.count(Counter::Promotions);
            let board = app.board();
            let slot = board.catalog.slot_by_digest(slot).map(|key| &board.catalog.slots[key].name);
            slog::info!(app.log, "promoted a member"; "slot" => slot.map(ToString::to_string),
                "term" => term.0, "primary" => primary.to_string());
        }
    }
}

async fn run(app: Arc<App>, call: PromotionCall) {
    let answer = send(&app, &call).await;
    app.send_event(Event::Promotion(PromotionEvent::CallFinished(call, answer)));
}

async fn send(app: &App, call: &PromotionCall) -> CallResult {
    let board = app.board();
    let Some(slot) = board.catalog.slot_by_digest(call.slot) else {
        return CallResult::Lost;
    };
    let Some(address) = admin_address(&board, call.database.as_str()) else {
        return CallResult::Lost;
    };
    let proposer = format!("{}/{}", app.settings.vm, app.settings.incarnation.0);
    let (service, slot) = names(&board, slot);
    let term = call.term;
    match &call.action {
        PromotionAction::Fence => {
            post(&app.admin_client, &address, "/fence", &Fence { service, slot, term, proposer })
                .await
        }
        PromotionAction::Promote => {
            post(
                &app.admin_client,
                &address,
                "/promote",
                &Promote { service, slot, term, proposer },
            )
            .await
        }
        PromotionAction::Follow(primary) => {
            let Some(primary_admin_address) = admin_address(&board, primary.as_str()) else {
                return CallResult::Lost;
            };
            let primary = primary.clone();
            let follow = Follow { service, slot, term, primary, primary_admin_address };
            post(&app.admin_client, &address, "/follow", &follow).await
        }
    }
}

async fn post(client: &Client, address: &str, path: &str, message: &impl Serialize) -> CallResult {
    match client.post_json::<SlotStatus, DatabaseError>(address, path, message, TIMEOUT).await {
        Ok(Ok(status)) => CallResult::Done(status),
        Ok(Err(error)) => CallResult::Refused(error),
        Err(_) => CallResult::Lost,
    }
}

fn admin_address(board: &Board, database: &str) -> Option<String> {
    let database = board.catalog.database(database)?;
    Some(board.catalog.databases[database].cfg.admin_address.clone())
}

fn names(board: &Board, slot: SlotKey) -> (ServiceName, SlotName) {
    let entry = &board.catalog.slots[slot];
    (board.catalog.services[entry.service].name.clone(), entry.name.clone())
}
