//! Start-up and shutdown that both stand-in programs share.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;

/// Binds a TCP listener and returns it with its address. Port 0 selects a free port.
pub async fn bind(address: &str) -> eyre::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Serves `app` on the listener in a background task.
pub fn serve(listener: TcpListener, app: Router) {
    tokio::spawn(async move { axum::serve(listener, app).await });
}

/// Prints the addresses as one line of JSON, from which the parent process learns the ports.
pub fn print_addresses(addresses: &serde_json::Value) {
    println!("{addresses}");
}

/// Waits for SIGTERM or Ctrl-C.
pub async fn wait_for_shutdown() -> eyre::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}
