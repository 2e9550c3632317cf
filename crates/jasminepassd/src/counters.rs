//! Counters of the process, shown to operators and sent as StatsD metrics.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
};

use cadence::{Counted, StatsdClient, UdpMetricSink};

/// A counter of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests that callers sent.
    Requests,
    /// Requests answered successfully.
    Answered,
    /// Requests that did not run, apart from [`Counter::RateLimited`].
    Refused,
    /// Requests refused because their workspace had exceeded its rate.
    RateLimited,
    /// Requests whose outcome stayed unknown.
    Unknown,
    /// Requests that failed in the upstream, without effect.
    Failed,
    /// Requests forwarded to another VM.
    Forwarded,
    /// Reads that a replica served.
    ReplicaReads,
    /// Reads that the primary served.
    PrimaryReads,
    /// Upstream connections opened.
    ConnectionsOpened,
    /// Peer messages refused as too large, unauthentic or unreadable.
    PeerRefused,
    /// Calls to the platform.
    PlatformCalls,
    /// Changes of a slot's primary that were seen.
    PrimaryChanges,
    /// Promotions that this VM completed.
    Promotions,
    /// Configurations adopted.
    Configurations,
    /// Requests for rate tokens sent to other VMs.
    TokenAsks,
    /// Queries to databases for the outcome of a write.
    OutcomesAsked,
    /// Messages to holders after the first one of a request.
    Retries,
    /// Transactions opened.
    TransactionsBegun,
    /// Transactions committed.
    TransactionsCommitted,
    /// Idle transactions rolled back because a time limit passed or their key was withdrawn.
    TransactionsExpired,
    /// Gossip digests sent to other VMs.
    GossipSent,
    /// Gossip digests received from other VMs.
    GossipReceived,
    /// Pulls of newer state from other VMs.
    Pulls,
}

impl Counter {
    const ALL: [(Counter, &'static str); 24] = [
        (Counter::Requests, "requests"),
        (Counter::Answered, "answered"),
        (Counter::Refused, "refused"),
        (Counter::RateLimited, "rate_limited"),
        (Counter::Unknown, "unknown"),
        (Counter::Failed, "failed"),
        (Counter::Forwarded, "forwarded"),
        (Counter::ReplicaReads, "replica_reads"),
        (Counter::PrimaryReads, "primary_reads"),
        (Counter::ConnectionsOpened, "connections_opened"),
        (Counter::PeerRefused, "peer_refused"),
        (Counter::PlatformCalls, "platform_calls"),
        (Counter::PrimaryChanges, "primary_changes"),
        (Counter::Promotions, "promotions"),
        (Counter::Configurations, "configurations"),
        (Counter::TokenAsks, "token_asks"),
        (Counter::OutcomesAsked, "outcomes_asked"),
        (Counter::Retries, "retries"),
        (Counter::TransactionsBegun, "transactions_begun"),
        (Counter::TransactionsCommitted, "transactions_committed"),
        (Counter::TransactionsExpired, "transactions_expired"),
        (Counter::GossipSent, "gossip_sent"),
        (Counter::GossipReceived, "gossip_received"),
        (Counter::Pulls, "pulls"),
    ];
}

/// Values of all counters.
#[derive(Default)]
pub struct Counters {
    values: [AtomicU64; Counter::ALL.len()],
}

impl Counters {
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.values[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Values of all counters by name.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        Counter::ALL.iter().map(|(counter, name)| (*name, self.value(*counter))).collect()
    }

    fn value(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}

/// Sends counter increments to a StatsD address.
pub struct StatsdReporter {
    client: StatsdClient,
    /// Counter values at the last report.
    sent: BTreeMap<&'static str, u64>,
}

impl StatsdReporter {
    /// Creates a reporter that sends to `address` over UDP.
    pub fn new(address: SocketAddr) -> eyre::Result<StatsdReporter> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        let sink = UdpMetricSink::from(address, socket)?;
        Ok(StatsdReporter {
            client: StatsdClient::from_sink("jasminepass", sink),
            sent: BTreeMap::new(),
        })
    }

    /// Sends the increase of each counter since the last report.
    pub fn report(&mut self, counters: &Counters) {
        for (name, value) in counters.snapshot() {
            let sent = self.sent.insert(name, value).unwrap_or(0);
            if value > sent {
                // A lost datagram loses one interval's increase; the operators' listener shows the
                // totals.
                let _ = self.client.count(name, (value - sent) as i64);
            }
        }
    }
}
