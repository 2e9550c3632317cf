//! A TCP connection to a caller or an upstream: a send buffer, and a task that reads and writes.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::Notify,
};

/// Size of the send buffer above which a connection is closed, because its peer does not read.
const UNSENT_MAX_BYTES: usize = 2 << 20;
/// Free space in the receive buffer before each read, in bytes.
const READ_BYTES: usize = 4 << 10;
/// Time for which a closed connection is still read, so that the peer receives the last reply.
const LINGER: Duration = Duration::from_secs(1);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// Whether and how a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    /// The connection stays open.
    Open,
    /// Close once the send buffer is empty and the peer had time to read it.
    AfterFlush,
    /// Close at once and drop unsent bytes.
    Now,
}

/// A connection to a caller or an upstream. The node writes to it, while the connection's own task
/// reads and sends what could not be sent at once.
#[derive(Debug)]
pub(crate) struct Connection {
    /// `None` until the connection is established.
    stream: RefCell<Option<Rc<TcpStream>>>,
    /// Send buffer.
    unsent: RefCell<Vec<u8>>,
    close_state: Cell<CloseState>,
    /// Wakes the connection's task after a change of `unsent` or `close_state`.
    wake: Notify,
}

/// Whether to keep a connection open after its data was handled.
pub(crate) enum ReadOutcome {
    /// Keep the connection open.
    Continue,
    /// Close the connection.
    Close,
}

impl Connection {
    pub(crate) fn new(stream: Option<Rc<TcpStream>>) -> Rc<Connection> {
        Rc::new(Connection {
            stream: RefCell::new(stream),
            unsent: RefCell::default(),
            close_state: Cell::new(CloseState::Open),
            wake: Notify::new(),
        })
    }

    /// Appends bytes to the send buffer; [`Connection::flush`] sends them.
    pub(crate) fn write(&self, encode: impl FnOnce(&mut Vec<u8>)) {
        encode(&mut self.unsent.borrow_mut());
    }

    /// Sends as much of the send buffer as is possible without waiting. The connection's task sends
    /// the rest.
    pub(crate) fn flush(&self) {
        let stream = self.stream.borrow().clone();
        let Some(stream) = stream else { return };
        if self.send(&stream).is_err() || self.unsent.borrow().len() > UNSENT_MAX_BYTES {
            self.close_state.set(CloseState::Now);
        }
        if self.close_state.get() != CloseState::Open || !self.unsent.borrow().is_empty() {
            self.wake.notify_one();
        }
    }

    /// Closes the connection once the send buffer is empty. If it already is, the connection is
    /// closed at once, so that no further request is read and left without a reply.
    pub(crate) fn close_after_flush(&self) {
        if self.close_state.get() == CloseState::Open {
            let has_unsent = !self.unsent.borrow().is_empty();
            self.close_state.set(if has_unsent { CloseState::AfterFlush } else { CloseState::Now });
        }
        self.wake.notify_one();
    }

    /// Closes the connection at once and drops unsent bytes.
    pub(crate) fn close_now(&self) {
        self.close_state.set(CloseState::Now);
        self.wake.notify_one();
    }

    /// Writes the send buffer to the socket until it is empty or the socket is not writable.
    fn send(&self, stream: &TcpStream) -> io::Result<()> {
        let mut unsent = self.unsent.borrow_mut();
        while !unsent.is_empty() {
            match stream.try_write(&unsent) {
                Ok(sent) => drop(unsent.drain(..sent)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Runs the connection until it is closed. `on_data` is called with all bytes that were read
    /// and not yet consumed, and removes those that it consumes.
    pub(crate) async fn run(
        &self,
        stream: Rc<TcpStream>,
        on_data: impl FnMut(&mut BytesMut) -> ReadOutcome,
    ) {
        self.run_after(BytesMut::new(), stream, on_data).await;
    }

    /// As [`Connection::run`], for a connection of which `buf` has been read already.
    pub(crate) async fn run_after(
        &self,
        mut buf: BytesMut,
        stream: Rc<TcpStream>,
        mut on_data: impl FnMut(&mut BytesMut) -> ReadOutcome,
    ) {
        if !buf.is_empty() && matches!(on_data(&mut buf), ReadOutcome::Close) {
            return;
        }
        loop {
            match self.close_state.get() {
                CloseState::Now => return,
                CloseState::AfterFlush if self.unsent.borrow().is_empty() => {
                    return linger(&stream).await;
                }
                _ => {}
            }
            let unsent = !self.unsent.borrow().is_empty();
            tokio::select! {
                ready = stream.readable() => {
                    if ready.is_err() || !self.read(&stream, &mut buf, &mut on_data) {
                        return;
                    }
                }
                ready = stream.writable(), if unsent => {
                    if ready.is_err() || self.send(&stream).is_err() {
                        return;
                    }
                }
                () = self.wake.notified() => {}
            }
        }
    }

    /// Reads the available bytes. Returns whether the connection stays open.
    fn read(
        &self,
        stream: &TcpStream,
        buf: &mut BytesMut,
        on_data: &mut impl FnMut(&mut BytesMut) -> ReadOutcome,
    ) -> bool {
        buf.reserve(READ_BYTES);
        match stream.try_read_buf(buf) {
            Ok(0) => false,
            Ok(_) if self.close_state.get() != CloseState::Open => {
                buf.clear();
                true
            }
            Ok(_) => matches!(on_data(buf), ReadOutcome::Continue),
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Establishes the connection and sends what was written meanwhile. Fails if the connection is
    /// closed before that.
    pub(crate) async fn connect(&self, address: SocketAddr) -> io::Result<Rc<TcpStream>> {
        let socket = TcpSocket::new_v4()?;
        let opening = socket.connect(address);
        let stream = self.unless_closed(opening).await?;
        Ok(self.attach(stream))
    }

    /// Waits for `opening`. Fails if the connection is closed before that.
    pub(crate) async fn unless_closed<T>(
        &self,
        opening: impl Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        tokio::select! {
            opened = opening => opened,
            () = self.close_requested() => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Gives the connection its stream and sends what was written before.
    pub(crate) fn attach(&self, stream: TcpStream) -> Rc<TcpStream> {
        let stream = Rc::new(stream);
        self.stream.replace(Some(stream.clone()));
        self.flush();
        stream
    }

    /// Waits until the connection is to be closed.
    async fn close_requested(&self) {
        while self.close_state.get() == CloseState::Open {
            self.wake.notified().await;
        }
    }
}

/// Shuts down the sending side and discards received bytes for at most [`LINGER`]. Closing a socket
/// with unread bytes would reset the connection, and the peer might lose the last reply.
async fn linger(stream: &TcpStream) {
    // The connection is closed in any case, so an error does not matter.
    let _ = SockRef::from(stream).shutdown(std::net::Shutdown::Write);
    let mut rest = [0; 1024];
    let drain = async {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut rest) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    // A peer that still sends after that time does not read the reply.
    let _ = tokio::time::timeout(LINGER, drain).await;
}

/// Disables Nagle's algorithm, and sets TCP keepalive and `TCP_USER_TIMEOUT` so that the connection
/// breaks if the peer's host does not respond.
pub(crate) fn configure_socket(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
