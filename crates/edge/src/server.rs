//! An HTTP/1.1 listener with limits and a graceful shutdown.

use std::{sync::Arc, time::Duration};

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};

/// What a listener takes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections open at once. Further ones wait in the system's accept queue.
    pub connections: usize,
    /// Headers parsed in a request; more are refused.
    pub headers: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Time in which a request's head must arrive. It also ends idle connections.
    pub head_timeout: Duration,
}

impl Limits {
    /// Limits for a listener that serves the fleet itself.
    pub const INTERNAL: Limits = Limits {
        connections: 4096,
        headers: 64,
        head_bytes: 16 << 10,
        head_timeout: Duration::from_secs(60),
    };
}

const FIRST_BYTE_GRACE: Duration = Duration::from_millis(500);

const BAD_REQUEST_HEAD: &str =
    "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nconnection: close\r\n";

/// Serves connections until `stop` turns true; then finishes the requests in progress, closes idle
/// connections and returns. `not_http_body` is the body sent to a client that does not speak HTTP.
pub async fn serve(
    listener: TcpListener,
    app: Router,
    limits: Limits,
    not_http_body: &'static str,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let permit = match permits.clone().acquire_owned().await {
            Ok(permit) => permit,
            Err(_) => break,
        };
        // Connections that the system has taken already are served: closing the listener would reset
        // them.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors: wait until some connection ends.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let watcher = graceful.watcher();
        let service = TowerToHyperService::new(app.clone());
        let mut stop = stop.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let _ = stream.set_nodelay(true);
            let is_http = tokio::select! {
                is_http = starts_like_http(&stream, limits.head_timeout) => is_http,
                // A connection that has sent nothing yet is idle.
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
                .serve_connection(TokioIo::new(stream), service);
            // A connection that breaks concerns nobody but its client.
            let _ = watcher.watch(conn).await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Returns some time after the stop, so that a request that was on its way is read.
async fn first_byte_overdue(stop: &mut watch::Receiver<bool>) {
    // The sender ends only with the process.
    let _ = stop.wait_for(|stop| *stop).await;
    tokio::time::sleep(FIRST_BYTE_GRACE).await;
}

/// Whether the first byte can begin an HTTP method. A connection that is closed or sends nothing
/// counts as HTTP, since the server deals with both.
async fn starts_like_http(stream: &TcpStream, timeout: Duration) -> bool {
    let mut first = [0];
    match tokio::time::timeout(timeout, stream.peek(&mut first)).await {
        Ok(Ok(1)) => first[0].is_ascii_uppercase(),
        _ => true,
    }
}

async fn reject(mut stream: TcpStream, body: &str) {
    let answer = format!("{BAD_REQUEST_HEAD}content-length: {}\r\n\r\n{body}", body.len());
    // Whoever sent this may be gone already.
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.shutdown().await;
}
