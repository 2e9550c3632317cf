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
enum Ending {
    Open,
    /// Once everything is sent, and the other side could read it.
    Flush,
    Now,
}

/// The half of a connection that others write to.
#[derive(Debug)]
pub(crate) struct Outlet {
    stream: RefCell<Option<Rc<TcpStream>>>,
    unsent: RefCell<Vec<u8>>,
    ending: Cell<Ending>,
    wake: Notify,
}

/// What came of reading.
pub(crate) enum Read {
    /// The connection goes on.
    More,
    /// It is to be ended.
    End,
}

impl Outlet {
    pub(crate) fn new(stream: Option<Rc<TcpStream>>) -> Rc<Outlet> {
        Rc::new(Outlet {
            stream: RefCell::new(stream),
            unsent: RefCell::default(),
            ending: Cell::new(Ending::Open),
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
            self.ending.set(Ending::Now);
        }
        if self.ending.get() != Ending::Open || !self.unsent.borrow().is_empty() {
            self.wake.notify_one();
        }
    }

    /// Ends the connection once everything is sent. Where nothing is, it ends at once: what the other
    /// side sends meanwhile must not be read and left without an answer.
    pub(crate) fn close_flushed(&self) {
        if self.ending.get() == Ending::Open {
            let last_words = !self.unsent.borrow().is_empty();
            self.ending.set(if last_words { Ending::Flush } else { Ending::Now });
        }
        self.wake.notify_one();
    }

    /// Ends the connection at once.
    pub(crate) fn close_now(&self) {
        self.ending.set(Ending::Now);
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
        mut take: impl FnMut(&mut BytesMut) -> Read,
    ) {
        let mut buf = BytesMut::new();
        loop {
            match self.ending.get() {
                Ending::Now => return,
                Ending::Flush if self.unsent.borrow().is_empty() => {
                    return linger(&stream).await;
                }
                _ => {}
            }
            let unsent = !self.unsent.borrow().is_empty();
            tokio::select! {
                ready = stream.readable() => {
                    if ready.is_err() || !self.read(&stream, &mut buf, &mut take) {
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
        take: &mut impl FnMut(&mut BytesMut) -> Read,
    ) -> bool {
        buf.reserve(READ_BYTES);
        match stream.try_read_buf(buf) {
            Ok(0) => false,
            Ok(_) if self.ending.get() != Ending::Open => {
                buf.clear();
                true
            }
            Ok(_) => matches!(take(buf), Read::More),
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Opens the connection and sends what was written meanwhile.
    pub(crate) async fn connect(&self, address: SocketAddr) -> io::Result<Rc<TcpStream>> {
        let socket = TcpSocket::new_v4()?;
        let opening = socket.connect(address);
        let stream = tokio::select! {
            stream = opening => stream?,
            () = self.closed() => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        let stream = Rc::new(stream);
        self.stream.replace(Some(stream.clone()));
        self.flush();
        Ok(stream)
    }

    async fn closed(&self) {
        while self.ending.get() == Ending::Open {
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
pub(crate) fn tune(stream: &TcpStream, silent_for: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(silent_for))
}
