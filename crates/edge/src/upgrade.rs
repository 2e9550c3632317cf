//! Connections that leave HTTP after an upgrade, to carry messages in both directions.

use std::{
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Empty;
use hyper::{client::conn::http1, upgrade::Upgraded};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A connection after its upgrade.
#[derive(Debug)]
pub struct UpgradedStream {
    /// The connection.
    pub stream: TcpStream,
    /// Bytes that were read beyond the HTTP message.
    pub early: Bytes,
}

impl UpgradedStream {
    fn new(upgraded: Upgraded) -> io::Result<UpgradedStream> {
        let parts = upgraded
            .downcast::<TokioIo<TcpStream>>()
            .map_err(|_| io::Error::other("the upgraded connection is not TCP"))?;
        Ok(UpgradedStream { stream: parts.io.into_inner(), early: parts.read_buf })
    }

    /// The address of the other side's host.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn peer_ip(&self) -> io::Result<IpAddr> {
        Ok(self.stream.peer_addr()?.ip())
    }
}

/// Connects to `address` and asks for an upgrade of `path` to `protocol`.
///
/// # Errors
/// The host is not reached, or it refuses the upgrade.
pub async fn connect(
    address: SocketAddr,
    path: &str,
    protocol: &'static str,
) -> io::Result<UpgradedStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, conn) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // The request, or later the upgraded connection, fails when this task ends.
    tokio::spawn(async move { drop(conn.with_upgrades().await) });
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, protocol)
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(io::Error::other(format!("upgrade refused: status {}", response.status())));
    }
    UpgradedStream::new(hyper::upgrade::on(response).await.map_err(io::Error::other)?)
}

/// Accepts the upgrade that a request asks for. Returns the response, and the connection, which is there
/// once the response has been sent; `None` if the request asks for no upgrade to `protocol`.
pub fn accept<B>(
    request: &mut Request<B>,
    protocol: &'static str,
) -> Option<(Response<()>, impl Future<Output = io::Result<UpgradedStream>> + use<B>)> {
    let asked = request.headers().get(header::UPGRADE)?;
    if asked.as_bytes() != protocol.as_bytes() {
        return None;
    }
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, HeaderValue::from_static(protocol));
    let upgrade = hyper::upgrade::on(request);
    Some((response, async move { UpgradedStream::new(upgrade.await.map_err(io::Error::other)?) }))
}
