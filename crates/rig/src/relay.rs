//! TCP relays that record the bytes they forward and can drop the traffic of chosen senders.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use edge::client::SENDER_HEADER;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

const CHUNK_BYTES: usize = 16 << 10;
const RECORD_LIMIT_BYTES: usize = 64 << 20;

/// Forwards TCP connections to one listener.
pub struct Relay {
    /// Data centre of the VM behind the relay; empty for databases and the platform.
    pub dc: String,
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    target: Mutex<String>,
    /// First [`RECORD_LIMIT_BYTES`] forwarded, both directions together.
    recorded: Mutex<Vec<u8>>,
    /// Names of the senders whose connections are not forwarded.
    cut_senders: watch::Sender<BTreeSet<String>>,
}

impl Relay {
    /// Starts a relay on a free local port. [`Relay::set_target`] must follow before it is used.
    pub async fn new(dc: impl Into<String>) -> eyre::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::default(),
            recorded: Mutex::default(),
            cut_senders: watch::Sender::new(BTreeSet::new()),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Relay { dc: dc.into(), address, shared, task })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, address: &str) {
        address.clone_into(&mut lock(&self.shared.target));
    }

    /// Stops or resumes forwarding for connections of `senders`. Connections stay open while cut,
    /// as when a network drops packets.
    pub fn set_cut(&self, senders: &[String], cut: bool) {
        self.shared.cut_senders.send_modify(|cuts| {
            for sender in senders {
                match cut {
                    true => cuts.insert(sender.clone()),
                    false => cuts.remove(sender),
                };
            }
        });
    }

    /// Returns whether the recorded bytes contain `text`.
    pub fn has_recorded(&self, text: &str) -> bool {
        lock(&self.shared.recorded).windows(text.len()).any(|window| window == text.as_bytes())
    }

    /// Returns the number of recorded bytes of both directions, at most 64 MiB.
    pub fn recorded_bytes(&self) -> usize {
        lock(&self.shared.recorded).len()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(relay(stream, shared.clone()));
    }
}

/// Forwards one connection. The sender is taken from its first request and holds for the
/// connection.
async fn relay(mut client: TcpStream, shared: Arc<Shared>) -> Option<()> {
    let mut head = vec![0; CHUNK_BYTES];
    let len = client.read(&mut head).await.ok().filter(|len| *len > 0)?;
    head.truncate(len);
    let sender = parse_sender(&head);
    if !record_unless_cut(&shared, &sender, &head) {
        return wait_until_restored(&shared, &sender).await;
    }
    let target = lock(&shared.target).clone();
    let mut server = TcpStream::connect(target).await.ok()?;
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    server.write_all(&head).await.ok()?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(client_read, server_write, &shared, &sender),
        copy(server_read, client_write, &shared, &sender),
    );
    Some(())
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    sender: &str,
) -> Option<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let len = from.read(&mut buf).await.ok().filter(|len| *len > 0)?;
        if !record_unless_cut(shared, sender, &buf[..len]) {
            return wait_until_restored(shared, sender).await;
        }
        to.write_all(&buf[..len]).await.ok()?;
    }
}

/// Records the bytes and returns true, or returns false if the sender is cut off.
fn record_unless_cut(shared: &Shared, sender: &str, bytes: &[u8]) -> bool {
    if shared.cut_senders.borrow().contains(sender) {
        return false;
    }
    let mut recorded = lock(&shared.recorded);
    let room = RECORD_LIMIT_BYTES.saturating_sub(recorded.len());
    recorded.extend_from_slice(&bytes[..bytes.len().min(room)]);
    true
}

/// Waits until the sender is no longer cut off. The connection has lost bytes by then and must
/// close.
async fn wait_until_restored(shared: &Shared, sender: &str) -> Option<()> {
    let mut cuts = shared.cut_senders.subscribe();
    cuts.wait_for(|cuts| !cuts.contains(sender)).await.ok()?;
    None
}

/// Reads the sender's name from the head of an HTTP request; empty if it has none.
fn parse_sender(head: &[u8]) -> String {
    let head = String::from_utf8_lossy(head);
    let value = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case(SENDER_HEADER.as_str()).then(|| value.trim().to_owned())
    });
    value.unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
