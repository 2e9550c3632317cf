//! HTTP requests that can't arrive any more some time after they were given up.
//!
//! A socket that is closed in the usual way goes on sending what was written to it, also after the end of its process.
//! So each request gets a connection of its own, which ends together with it, and whose socket enforces that itself:
//!
//! - It doesn't linger: closing it, which the system does at any end of the process, resets the connection, and
//!   unacknowledged bytes are not sent again.
//! - It has a user timeout: while the process is suspended and closes nothing, the system stops sending bytes again.
//!   Until then they are sent at most two more times; see [`resend_max`].

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use crate::client::{Header, Reply, SendError, error_chain, read_body};

/// User timeout of the socket. Shorter than twice [`RETRANSMISSION_TIMEOUT_MIN`], the time to a second retransmission.
const USER_TIMEOUT: Duration = Duration::from_millis(200);
/// Shortest time after which Linux retransmits an unacknowledged segment.
const RETRANSMISSION_TIMEOUT_MIN: Duration = Duration::from_millis(200);
/// Delay of the system's timers.
const TIMER_SLACK: Duration = Duration::from_millis(20);
/// Longest round trip between a VM and a server of such requests. A longer time to connect was spent waiting for a
/// processor.
const ROUND_TRIP_MAX: Duration = Duration::from_millis(50);
/// Round trips, in halves, from the last write until the last segment has arrived: a tail loss probe is sent after two,
/// the retransmission timeout that starts anew then includes one, and half a one is the way to the server.
const HALF_ROUND_TRIPS: u32 = 7;

/// Longest time from the last write of a request until its bytes have arrived, or never will, where nothing closes its
/// connection.
pub fn resend_max(round_trip: Duration) -> Duration {
    RETRANSMISSION_TIMEOUT_MIN + TIMER_SLACK + round_trip * HALF_ROUND_TRIPS / 2
}

/// Limits of a request that can't arrive late.
pub struct OneShotLimits {
    /// Returns the time until the request is given up, on a clock that also runs while the machine is suspended.
    pub time_left: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Time after that from which on the request must not arrive.
    pub arrival_margin: Duration,
}

/// Sends one request to `address` (`ip:port`) over a new connection and reads the complete reply. Dropping the future
/// gives the request up.
///
/// # Errors
/// [`SendError::NotSent`] only if the server has not got the whole request and never will.
pub async fn send_one_shot(
    address: &str,
    path: &str,
    headers: &[Header],
    body: Bytes,
    limits: OneShotLimits,
) -> Result<Reply, SendError> {
    let is_sent = Arc::new(AtomicBool::new(false));
    let exchange = exchange(address, path, headers, body, &limits, is_sent.clone());
    let limit = (limits.time_left)();
    let outcome = timeout(limit, exchange).await;
    let outcome =
        outcome.unwrap_or_else(|_| Err(format!("no reply within {} ms", limit.as_millis())));
    outcome.map_err(|reason| {
        let address = address.to_owned();
        match is_sent.load(Ordering::Relaxed) {
            true => SendError::ReplyLost { address, reason },
            false => SendError::NotSent { address, reason },
        }
    })
}

async fn exchange(
    address: &str,
    path: &str,
    headers: &[Header],
    body: Bytes,
    limits: &OneShotLimits,
    is_sent: Arc<AtomicBool>,
) -> Result<Reply, String> {
    let mut req =
        Request::builder().method(Method::POST).uri(path).header(http::header::HOST, address);
    for (name, value) in headers {
        req = req.header(name, value);
    }
    let req = req.body(Full::new(body)).map_err(|e| e.to_string())?;
    let began = Instant::now();
    let stream = connect(address).await.map_err(|e| format!("can't connect: {e}"))?;
    let round_trip = began.elapsed().min(ROUND_TRIP_MAX);
    let time_left = limits.time_left.clone();
    let time_needed = resend_max(round_trip).saturating_sub(limits.arrival_margin);
    let stream = GuardedStream { stream, time_left, time_needed, is_sent };
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| error_chain(&e))?;
    // The connection reports its errors to the exchange as well.
    let connection = async {
        let _ = connection.await;
        std::future::pending().await
    };
    let exchange = async {
        let response = sender.send_request(req).await.map_err(|e| error_chain(&e))?;
        let (head, body) = response.into_parts();
        let body = read_body(body, (limits.time_left)()).await?;
        Ok(Reply { status: head.status, headers: head.headers, body })
    };
    tokio::select! {
        outcome = exchange => outcome,
        never = connection => never,
    }
}

/// Opens a connection whose socket drops what was written to it once it is closed, or not acknowledged in time.
async fn connect(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    let options = SockRef::from(&socket);
    options.set_linger(Some(Duration::ZERO))?;
    options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.connect(address).await
}

/// A stream that checks before each write whether there is still time for it.
///
/// The last byte of each buffer is written by itself. The process may be suspended between a check and the write, so
/// the check before the last byte is the one that counts: without it, the request is not complete. Besides, Linux
/// probes for a lost tail sooner where more than one segment is unacknowledged.
struct GuardedStream {
    stream: TcpStream,
    time_left: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Nothing is written with less time left than this.
    time_needed: Duration,
    /// Set before the last byte of a buffer is written.
    is_sent: Arc<AtomicBool>,
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if (self.time_left)() <= self.time_needed {
            return Poll::Ready(Err(io::Error::other("too late to be sent")));
        }
        let len = match buf.len() {
            0 | 1 => buf.len(),
            len => len - 1,
        };
        if len == buf.len() {
            self.is_sent.store(true, Ordering::Relaxed);
        }
        Pin::new(&mut self.stream).poll_write(cx, &buf[..len])
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}
