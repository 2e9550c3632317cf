//! What both stand-in programs do around their listeners.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;

/// Binds a listener; port 0 takes a free one.
pub async fn bind(address: &str) -> eyre::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Serves a listener in the background, without limits.
pub fn serve(listener: TcpListener, app: Router) {
    tokio::spawn(async move { axum::serve(listener, app).await });
}

/// Prints the addresses in one line of JSON, so that whoever started the program learns its ports.
pub fn print_addresses(addresses: &serde_json::Value) {
    println!("{addresses}");
}

/// Returns once the process is told to end.
pub async fn wait_for_shutdown() -> eyre::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}
