//! `keeper`: serves as a memcached server, for third-party client libraries.

use super::error::CliError;
use super::{current_thread_runtime, until_interrupted};
use aniseyoke_lab_memcached_server::{Server, Store};
use clap::Args;
use std::net::{Ipv4Addr, SocketAddr};
use std::num::NonZeroUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;

#[derive(Args)]
pub struct MemcachedServerArgs {
    /// Port to listen on, on the loopback interface; by default any free one. The address is printed.
    #[arg(long, default_value_t = 0)]
    port: u16,
    /// Maximum number of stored values.
    #[arg(long, default_value = "100000")]
    items: NonZeroUsize,
    /// Maximum length of a value, in bytes.
    #[arg(long, default_value_t = 1 << 20)]
    max_value_bytes: usize,
    /// User with access, as NAME=PASSWORD; may be given several times. Without users, no authentication is required.
    #[arg(long)]
    user: Vec<String>,
}

pub fn run(args: &MemcachedServerArgs) -> Result<bool, CliError> {
    let user = |text: &String| {
        let (name, password) = text
            .split_once('=')
            .ok_or_else(|| CliError::Argument(format!("--user {text}: must have the form NAME=PASSWORD")))?;
        Ok((name.to_owned(), password.to_owned()))
    };
    let users = args.user.iter().map(user).collect::<Result<_, CliError>>()?;
    let server = Server::new(Store::new(args.items, args.max_value_bytes), args.max_value_bytes, users);
    let stop = until_interrupted();
    let runtime = current_thread_runtime()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, args.port));
        let listener = TcpListener::bind(addr).await.map_err(|source| CliError::Listen { addr, source })?;
        println!("listening on {}", listener.local_addr().map_err(CliError::System)?);
        tokio::task::spawn_local(server.clone().serve(listener));
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        println!("{} requests changed stored values", server.mutations());
        Ok(true)
    })
}
