//! Health checks of a proxy.

use aniseyoke_lab_site::http::HttpConnection;
use aniseyoke_lab_site::Health;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks the health of the proxy at `addr`. A proxy that does not respond within half a second counts as dead.
pub async fn check_health(addr: SocketAddr) -> Health {
    let check = async {
        let mut http = HttpConnection::new(TcpStream::connect(addr).await?);
        http.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await?;
        http.read_response().await
    };
    match timeout(CHECK_TIMEOUT, check).await {
        Ok(Ok(Some(response))) if response.status == 200 => Health::Healthy,
        Ok(Ok(Some(_))) => Health::Unhealthy,
        _ => Health::NoResponse,
    }
}
