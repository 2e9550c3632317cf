//! Relays of TCP connections, which record what passes and can cut senders off.

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

/// A relay to one listener.
pub struct Relay {
    /// Data centre of the listener; empty for databases and the platform.
    pub dc: String,
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    target: Mutex<String>,
    recorded: Mutex<Vec<u8>>,
    cut_senders: watch::Sender<BTreeSet<String>>,
}

impl Relay {
    /// A relay that listens on a free port.
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

    /// Where it listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets the listener to which it relays.
    pub fn set_target(&self, address: &str) {
        address.clone_into(&mut lock(&self.shared.target));
    }

    /// Lets nothing of these senders pass, or no longer. Connections stay open meanwhile, as when a
    /// network drops packets.
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

    /// Whether the text passed, in either direction.
    pub fn has_recorded(&self, text: &str) -> bool {
        lock(&self.shared.recorded).windows(text.len()).any(|window| window == text.as_bytes())
    }

    /// How many bytes passed.
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

/// Records bytes that pass. Returns whether they may.
fn record_unless_cut(shared: &Shared, sender: &str, bytes: &[u8]) -> bool {
    if shared.cut_senders.borrow().contains(sender) {
        return false;
    }
    let mut recorded = lock(&shared.recorded);
    let room = RECORD_LIMIT_BYTES.saturating_sub(recorded.len());
    recorded.extend_from_slice(&bytes[..bytes.len().min(room)]);
    true
}

/// Returns once the sender is no longer cut off; the connection has lost bytes and ends then.
async fn wait_until_restored(shared: &Shared, sender: &str) -> Option<()> {
    let mut cuts = shared.cut_senders.subscribe();
    cuts.wait_for(|cuts| !cuts.contains(sender)).await.ok()?;
    None
}

/// The sender that the head of a request names.
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
