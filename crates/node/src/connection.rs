//! One TCP connection: a buffer for what is to be sent, and a task that reads and writes.

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

/// Unsent bytes after which a connection counts as dead: its other side does not read.
const UNSENT_MAX_BYTES: usize = 2 << 20;
/// Bytes read at once.
const READ_BYTES: usize = 4 << 10;
/// How long a connection that was closed after an error is read on, so that the error arrives.
const LINGER: Duration = Duration::from_secs(1);
/// Idle time after which a connection is probed, and the pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 3;

/// How a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    Open,
    /// Once everything is sent, and the other side could read it.
    AfterFlush,
    Now,
}

/// The half of a connection that others write to.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: RefCell<Option<Rc<TcpStream>>>,
    unsent: RefCell<Vec<u8>>,
    close_state: Cell<CloseState>,
    wake: Notify,
}

/// What came of reading.
pub(crate) enum ReadOutcome {
    /// The connection goes on.
    Continue,
    /// It is to be ended.
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

    /// Adds bytes to what is to be sent.
    pub(crate) fn write(&self, encode: impl FnOnce(&mut Vec<u8>)) {
        encode(&mut self.unsent.borrow_mut());
    }

    /// Sends what can be sent without waiting; the connection's task sends the rest.
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

    /// Ends the connection once everything is sent. Where nothing is, it ends at once: what the other
    /// side sends meanwhile must not be read and left without an answer.
    pub(crate) fn close_after_flush(&self) {
        if self.close_state.get() == CloseState::Open {
            let has_unsent = !self.unsent.borrow().is_empty();
            self.close_state.set(if has_unsent { CloseState::AfterFlush } else { CloseState::Now });
        }
        self.wake.notify_one();
    }

    /// Ends the connection at once.
    pub(crate) fn close_now(&self) {
        self.close_state.set(CloseState::Now);
        self.wake.notify_one();
    }

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

    /// Reads until the connection ends. `take` is called with all bytes read and not taken yet.
    pub(crate) async fn run(
        &self,
        stream: Rc<TcpStream>,
        mut on_data: impl FnMut(&mut BytesMut) -> ReadOutcome,
    ) {
        let mut buf = BytesMut::new();
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

    /// Reads what is there. Returns whether the connection goes on.
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

    /// Opens the connection and sends what was written meanwhile.
    pub(crate) async fn connect(&self, address: SocketAddr) -> io::Result<Rc<TcpStream>> {
        let socket = TcpSocket::new_v4()?;
        let opening = socket.connect(address);
        let stream = tokio::select! {
            stream = opening => stream?,
            () = self.close_requested() => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        let stream = Rc::new(stream);
        self.stream.replace(Some(stream.clone()));
        self.flush();
        Ok(stream)
    }

    async fn close_requested(&self) {
        while self.close_state.get() == CloseState::Open {
            self.wake.notified().await;
        }
    }
}

/// Lets the other side read the last answer: a close with unread bytes would reset the connection.
async fn linger(stream: &TcpStream) {
    // The connection is going away in any case.
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
    // After that, whoever still sends does not listen.
    let _ = tokio::time::timeout(LINGER, drain).await;
}

/// Sets a connection up so that it does not hang on a dead other side.
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
