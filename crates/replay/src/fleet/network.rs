//! The simulated network's queue of messages in flight.

use std::{cmp::Reverse, collections::BinaryHeap};

use config::Configuration;
use model::prelude::*;
use proto::{
    gossip::{Digest, Pull, PullReply},
    platform::VmRecord,
};

/// A message that arrives at a VM.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// Digest of another VM's state.
    Digest { from: VmRecord, sent_at: MonoTime, digest: Box<Digest> },
    /// Reply to a digest: the receiver's digest.
    DigestReply { sent_at: MonoTime, digest: Box<Digest> },
    /// Another VM asks for data that it lacks.
    Pull { from: VmRecord, sent_at: MonoTime, pull: Pull },
    /// Reply to a pull, with the data.
    PullReply { from: VmRecord, sent_at: MonoTime, pulled: Box<PullReply> },
    /// A message to that VM instance got no reply.
    PeerFailed(VmName, Incarnation),
    /// A pull sent to that VM instance got no reply.
    PullFailed(VmName, Incarnation),
    /// The configuration, as read from the platform.
    Configuration { sent_at: MonoTime, cfg: Box<Configuration> },
    /// The list of VMs, as read from the platform.
    List { sent_at: MonoTime, vms: Vec<VmRecord> },
}

/// Receiver of a message: name and incarnation of a VM.
pub(super) type Address = (VmName, Incarnation);

/// Messages in flight, ordered by time of arrival.
#[derive(Default)]
pub(super) struct Network {
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    messages: FxHashMap<u64, (Address, Message)>,
    sent: u64,
}

impl Network {
    /// Sends a message that arrives at the time `at`.
    pub(super) fn send(&mut self, at: MonoTime, to: Address, message: Message) {
        self.sent += 1;
        self.queue.push(Reverse((at, self.sent)));
        self.messages.insert(self.sent, (to, message));
    }

    /// Removes the next message that arrives no later than `by`; returns it with its time of arrival and
    /// its receiver.
    pub(super) fn receive(&mut self, by: MonoTime) -> Option<(MonoTime, Address, Message)> {
        let Reverse((at, _)) = *self.queue.peek()?;
        if at > by {
            return None;
        }
        let Reverse((_, number)) = self.queue.pop()?;
        let (to, message) = self.messages.remove(&number)?;
        Some((at, to, message))
    }
}
