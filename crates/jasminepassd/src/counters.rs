//! Counters: kept in the process, shown to operators and sent on as StatsD metrics.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
};

use cadence::{Counted, StatsdClient, UdpMetricSink};

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests that callers sent.
    Requests,
    /// Requests answered.
    Answered,
    /// Requests refused without having run.
    Refused,
    /// Requests refused because their workspace was past its rate.
    RateLimited,
    /// Requests whose outcome stayed unknown.
    Unknown,
    /// Requests that an upstream executed and failed.
    Failed,
    /// Requests forwarded to another VM.
    Forwarded,
    /// Reads that a replica served.
    ReplicaReads,
    /// Reads that the primary served.
    PrimaryReads,
    /// Upstream connections opened.
    ConnectionsOpened,
    /// Peer messages refused.
    PeerRefused,
    /// Calls to the platform.
    PlatformCalls,
    /// Changes of a slot's primary that were seen.
    PrimaryChanges,
    /// Promotions that this VM brought to an end.
    Promotions,
    /// Configurations put in force.
    Configurations,
    /// Messages to other VMs that ask for tokens.
    TokenAsks,
    /// Times that a database was asked what became of a write.
    OutcomesAsked,
    /// Requests sent again.
    Retries,
    /// Transactions opened.
    TransactionsBegun,
    /// Transactions committed.
    TransactionsCommitted,
    /// Transactions rolled back because their caller, key or time was gone.
    TransactionsExpired,
    /// Digests sent to other VMs.
    GossipSent,
    /// Digests received from other VMs.
    GossipReceived,
    /// Times that another VM was asked for what this one lacked.
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

/// Every counter's value.
#[derive(Default)]
pub struct Counters {
    values: [AtomicU64; Counter::ALL.len()],
}

impl Counters {
    /// Adds one.
    pub fn count(&self, counter: Counter) {
        self.values[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Every value, by name.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        Counter::ALL.iter().map(|(counter, name)| (*name, self.value(*counter))).collect()
    }

    fn value(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}

/// Sends what was counted since the last time to a StatsD address.
pub struct StatsdReporter {
    client: StatsdClient,
    sent: BTreeMap<&'static str, u64>,
}

impl StatsdReporter {
    /// A reporter to that address.
    pub fn new(address: SocketAddr) -> eyre::Result<StatsdReporter> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        let sink = UdpMetricSink::from(address, socket)?;
        Ok(StatsdReporter {
            client: StatsdClient::from_sink("jasminepass", sink),
            sent: BTreeMap::new(),
        })
    }

    /// Sends the increase of each counter.
    pub fn report(&mut self, counters: &Counters) {
        for (name, value) in counters.snapshot() {
            let sent = self.sent.insert(name, value).unwrap_or(0);
            if value > sent {
                // A lost datagram costs one interval's count; the operators' listener has the totals.
                let _ = self.client.count(name, (value - sent) as i64);
            }
        }
    }
}
