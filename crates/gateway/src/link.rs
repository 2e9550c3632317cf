//! Messages of a link, over which a VM uses the database connections of a holder.
//!
//! A database's connections are held by a few VMs, its holders (see [`crate::holders`]). Any other VM
//! opens a link to a holder and on it a channel for each database and workspace, which it uses as it
//! would use a connection of its own: it still decides which database runs a statement, holds the
//! lease for a primary, and judges the answer. The holder only finds a connection for each statement
//! or transaction. It may refuse a request as long as it has not sent it to the database.

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::message::{Reply, UpstreamRequest};

/// Number of a channel, chosen by the VM that opens it and unique on its link.
pub type ChannelNumber = u64;

/// Parameters with which a VM opens a link. A peer ignores those that it does not know, so they announce what the
/// opening end of the link decodes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LinkParameters {
    /// The VM that opens the link.
    pub vm: VmName,
    /// Whether it decodes [`LinkMessage::Load`]. Earlier builds say nothing and don't.
    #[serde(default)]
    pub load_reports: bool,
}

impl LinkParameters {
    /// Parameters of a link that the VM opens, with all that this build decodes.
    pub fn new(vm: VmName) -> LinkParameters {
        LinkParameters { vm, load_reports: true }
    }

    /// Returns the parameters as the query of a URL.
    pub fn query(&self) -> String {
        format!("vm={}&load_reports={}", self.vm, self.load_reports)
    }
}

/// Load of a database as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots that nothing occupies.
    pub free: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Mean time for which a request occupies a slot.
    pub service: DurationUs,
}

/// A message on a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// To the holder: opens a channel.
    Open {
        /// The new channel's number.
        channel: ChannelNumber,
        /// The workspace whose statements the channel carries; `None` for those of open routes.
        workspace: Option<WorkspaceName>,
        /// The database that runs them.
        database: DatabaseName,
    },
    /// To the holder: a request for the channel's database. There is no reply to the requests that
    /// set variables, prepare statements, reset or roll back.
    Request {
        /// The channel.
        channel: ChannelNumber,
        /// Requests with a lower number are sent to the database first.
        priority: u32,
        /// For how long the caller can wait until the request is sent to the database.
        wait: DurationUs,
        /// The request.
        request: UpstreamRequest,
    },
    /// To the holder: the channel is no longer used. An open transaction is rolled back.
    Close {
        /// The channel.
        channel: ChannelNumber,
    },
    /// From the holder: the complete answer of the database to the channel's oldest open request.
    Replies {
        /// The channel.
        channel: ChannelNumber,
        /// Rows, outcome, and the state after it.
        replies: Vec<Reply>,
    },
    /// From the holder: the channel's oldest open request was not sent to the database and will not
    /// be.
    Refused {
        /// The channel.
        channel: ChannelNumber,
        /// Why not.
        reason: Refusal,
    },
    /// From the holder: the channel has ended, because its connection to the database was lost. What
    /// became of an open request is unknown.
    Lost {
        /// The channel.
        channel: ChannelNumber,
    },
    /// From the holder: the database owes the channel an answer and has been silent for a while. The
    /// answer is still passed on if it comes.
    Silent {
        /// The channel.
        channel: ChannelNumber,
    },
    /// From the holder, while requests are open and there is nothing else to send.
    Alive,
    /// From the holder: it is stopping. Requests in progress are completed.
    Leaving,
    /// From the holder, with replies, to peers that have announced [`LinkParameters::load_reports`].
    Load {
        /// The database.
        database: DatabaseName,
        /// Its load when the message was sent.
        report: LoadReport,
    },
}

/// Why a holder did not send a request to the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The database does not answer the holder.
    Suspected,
    /// All connections or slots of the database were in use for too long.
    NoRoom,
    /// The holder does not know the database, or no longer holds its connections.
    NotHolder,
}
