//! Looks at a proxy's health.

use aniseyoke_lab_site::wire::Wire;
use aniseyoke_lab_site::Health;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A look at health takes no longer.
const ANSWERS_WITHIN: Duration = Duration::from_millis(500);

/// Whether the proxy at `addr` says that it is well, within half a second.
pub async fn health(addr: SocketAddr) -> Health {
    let look = async {
        let mut wire = Wire::new(TcpStream::connect(addr).await?);
        wire.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await?;
        wire.answer().await
    };
    match timeout(ANSWERS_WITHIN, look).await {
        Ok(Ok(Some(answer))) if answer.status == 200 => Health::Well,
        Ok(Ok(Some(_))) => Health::Unwell,
        _ => Health::Dead,
    }
}
