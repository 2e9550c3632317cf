//! Messages on their way, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use config::Configuration;
use model::prelude::*;
use proto::{
    gossip::{Digest, Pull, PullReply},
    platform::VmRecord,
};

/// What reaches a VM.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// Another VM's digest.
    Digest { from: VmRecord, sent_at: MonoTime, digest: Box<Digest> },
    /// The answer to a digest.
    DigestReply { sent_at: MonoTime, digest: Box<Digest> },
    /// Another VM asks for what it lacks.
    Pull { from: VmRecord, sent_at: MonoTime, pull: Pull },
    /// The answer to that.
    PullReply { from: VmRecord, sent_at: MonoTime, pulled: Box<PullReply> },
    /// A message got no answer.
    PeerFailed(VmName, Incarnation),
    /// The platform's answers.
    Configuration { sent_at: MonoTime, cfg: Box<Configuration> },
    /// The platform's list.
    List { sent_at: MonoTime, vms: Vec<VmRecord> },
}

/// To which run of which VM.
pub(super) type Address = (VmName, Incarnation);

/// Messages on their way, in the order in which they arrive.
#[derive(Default)]
pub(super) struct Network {
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    messages: FxHashMap<u64, (Address, Message)>,
    sent: u64,
}

impl Network {
    /// Sends a message that arrives at that time.
    pub(super) fn send(&mut self, at: MonoTime, to: Address, message: Message) {
        self.sent += 1;
        self.queue.push(Reverse((at, self.sent)));
        self.messages.insert(self.sent, (to, message));
    }

    /// The next message that arrives by that time.
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
