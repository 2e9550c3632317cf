//! An HTTP/1.1 server with limits and graceful shutdown.

use std::{pin::pin, sync::Arc, time::Duration};

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections. Further ones wait in the kernel's accept queue.
    pub connections: usize,
    /// Maximum number of headers per request; a request with more is refused.
    pub headers: usize,
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Time within which a request's head must arrive. Idle connections are closed after it.
    pub head_timeout: Duration,
}

impl Limits {
    /// Limits of listeners for other VMs and for operators.
    pub const INTERNAL: Limits = Limits {
        connections: 4096,
        headers: 64,
        head_bytes: 16 << 10,
        head_timeout: Duration::from_secs(60),
    };
}

/// Time after a stop in which a connection that has sent nothing yet may still send a request.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(500);

/// Head of the response to a client that does not speak HTTP, without the content length.
const BAD_REQUEST_HEAD: &str =
    "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nconnection: close\r\n";

/// Serves connections until `stop` becomes true, then finishes the requests in progress, closes
/// idle connections and returns. `not_http_body` is the body of the response to a client that does
/// not speak HTTP.
pub async fn serve(
    listener: TcpListener,
    app: Router,
    limits: Limits,
    not_http_body: &'static str,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let permit = match permits.clone().acquire_owned().await {
            Ok(permit) => permit,
            Err(_) => break,
        };
        // Connections in the kernel's accept queue are served before the stop takes effect, because
        // closing the listener would reset them.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Accepting fails without free file descriptors: wait until a connection ends.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let service = TowerToHyperService::new(app.clone());
        let mut stop = stop.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let _ = stream.set_nodelay(true);
            let is_http = tokio::select! {
                is_http = starts_like_http(&stream, limits.head_timeout) => is_http,
                // A connection that has sent nothing yet counts as idle.
                _ = first_byte_overdue(&mut stop) => return,
            };
            if !is_http {
                return reject(stream, not_http_body).await;
            }
            let conn = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.head_timeout)
                .max_headers(limits.headers)
                .max_buf_size(limits.head_bytes)
                .serve_connection(TokioIo::new(stream), service)
                .with_upgrades();
            let mut conn = pin!(conn);
            // An error on a connection only concerns its client.
            tokio::select! {
                _ = conn.as_mut() => return,
                _ = stop.wait_for(|stop| *stop) => conn.as_mut().graceful_shutdown(),
            }
            let _ = conn.await;
        });
    }
    drop(listener);
    // Each connection holds a permit until it has ended. The semaphore is never closed.
    let _ = permits.acquire_many(limits.connections as u32).await;
}

/// Completes [`FIRST_BYTE_GRACE`] after the stop, so that a request already in transit is read.
async fn first_byte_overdue(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which happens only when the process ends.
    let _ = stop.wait_for(|stop| *stop).await;
    tokio::time::sleep(FIRST_BYTE_GRACE).await;
}

/// Returns whether the first byte can begin an HTTP method. A connection that is closed or sends
/// nothing counts as HTTP, because the HTTP server handles both cases.
async fn starts_like_http(stream: &TcpStream, timeout: Duration) -> bool {
    let mut first = [0];
    match tokio::time::timeout(timeout, stream.peek(&mut first)).await {
        Ok(Ok(1)) => first[0].is_ascii_uppercase(),
        _ => true,
    }
}

async fn reject(mut stream: TcpStream, body: &str) {
    let answer = format!("{BAD_REQUEST_HEAD}content-length: {}\r\n\r\n{body}", body.len());
    // The client may have closed the connection already.
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.shutdown().await;
}
