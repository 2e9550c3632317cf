//! Carries out the effects of the fleet controller, and answers gossip of other VMs.

use std::{sync::Arc, time::Duration};

use edge::{
    client::{Patience, SendError},
    peer::{PeerInstance, Stamp},
};
use fleet::{
    distribution::{FleetEffect, FleetEvent},
    gossip::{answer_pull, digest},
};
use proto::{
    gossip::{Digest, Pull},
    peer::{PeerReply, PeerRequest},
    platform::VmRecord,
};

use crate::{app::App, counters::Counter, event::Event};

const GOSSIP_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a VM may take to answer a pull, and pause in its answer. The answer may hold a configuration, whose
/// size is not bounded.
pub const PULL_PATIENCE: Patience = Patience::WhileArriving {
    first: Duration::from_millis(1_500),
    pause: Duration::from_millis(1_500),
};
const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// Carries out an effect of the fleet controller.
pub fn carry_out(app: &Arc<App>, effect: FleetEffect) {
    match effect {
        FleetEffect::SetWatching(watch) => {
            app.watching.send_replace(watch);
        }
        FleetEffect::SendDigest(to, digest) => {
            tokio::spawn(send_digest(app.clone(), to, digest));
        }
        FleetEffect::Pull(from, what) => {
            tokio::spawn(pull(app.clone(), from, what));
        }
        // Handled by the control thread.
        FleetEffect::AdoptConfiguration(_)
        | FleetEffect::MembersChanged
        | FleetEffect::DcObjectChanged(_) => {}
    }
}

/// Sends a message to a VM and reads the reply. Tells the fleet controller when a VM stops or
/// resumes answering.
pub async fn call(
    app: &App,
    to: &VmRecord,
    req: &PeerRequest,
    patience: impl Into<Patience>,
) -> Result<PeerReply, SendError> {
    let instance = PeerInstance { vm: to.vm.clone(), incarnation: to.incarnation };
    let result = app.peers.call(&instance, &to.peer_address, req, patience).await;
    let is_suspect = app.board.load().fleet.suspects.contains_key(&to.vm);
    match &result {
        Ok(_) if is_suspect => {
            app.send_event(Event::Fleet(FleetEvent::PeerReached(
                instance.vm,
                instance.incarnation,
            )));
        }
        Err(SendError::NotSent { .. } | SendError::ReplyLost { .. }) if !is_suspect => {
            app.send_event(Event::Fleet(FleetEvent::PeerFailed(instance.vm, instance.incarnation)));
        }
        _ => {}
    }
    result
}

/// Passes another VM's digest to the fleet controller, and replies with this VM's digest. A digest
/// of a VM other than the sender is not passed on.
pub fn handle_digest(app: &App, stamp: &Stamp, theirs: Box<Digest>) -> PeerReply {
    let is_own = theirs.from.vm == stamp.vm && theirs.from.incarnation == stamp.incarnation;
    if is_own {
        app.send_event(Event::Fleet(FleetEvent::DigestReceived(theirs)));
    }
    app.counters.count(Counter::GossipReceived);
    PeerReply::Gossip(Box::new(digest(&app.board(), app.now())))
}

/// Answers a pull with the state that the other VM lacks.
pub fn handle_pull(app: &App, pull: &Pull) -> PeerReply {
    let pulled = answer_pull(&app.board(), &app.configuration_history.load(), pull, app.now());
    PeerReply::Pulled(Box::new(pulled))
}

/// Answers a VM that starts with the VMs that this one knows.
pub fn handle_introduction(app: &App) -> PeerReply {
    PeerReply::Introduced(app.board().fleet.vms.to_vec())
}

/// Asks the seed addresses for the VMs of the fleet until this VM knows another one.
pub async fn introduce(app: Arc<App>) {
    while app.board().fleet.vms.len() < 2 {
        for address in &app.settings.seeds {
            let reply = app.peers.introduce(&address.to_string(), GOSSIP_TIMEOUT).await;
            if let Ok(PeerReply::Introduced(vms)) = reply {
                app.send_event(Event::Fleet(FleetEvent::Introduced(vms)));
            }
        }
        tokio::time::sleep(INTRODUCTION_INTERVAL).await;
    }
}

async fn send_digest(app: Arc<App>, to: VmRecord, digest: Box<Digest>) {
    let sent_at = app.now();
    app.counters.count(Counter::GossipSent);
    let reply = call(&app, &to, &PeerRequest::Gossip(digest), GOSSIP_TIMEOUT).await;
    if let Ok(PeerReply::Gossip(digest)) = reply {
        app.send_event(Event::Fleet(FleetEvent::DigestAnswered { sent_at, digest }));
    }
}

async fn pull(app: Arc<App>, from: VmRecord, pull: Pull) {
    let sent_at = app.now();
    app.counters.count(Counter::Pulls);
    let reply = call(&app, &from, &PeerRequest::Pull(pull), PULL_PATIENCE).await;
    app.send_event(Event::Fleet(match reply {
        Ok(PeerReply::Pulled(pulled)) => FleetEvent::PullAnswered { from, sent_at, pulled },
        other => {
            slog::info!(app.log, "pull failed"; "from" => %from.vm,
                "error" => other.err().map(|e| e.to_string()));
            FleetEvent::PullFailed
        }
    }));
}
