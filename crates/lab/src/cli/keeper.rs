//! Serves as a memcached server, for client libraries of others.

use super::until_interrupted;
use aniseyoke_lab_memcached_server::{Keeper, Server};
use clap::Args;
use std::net::{Ipv4Addr, SocketAddr};
use std::num::NonZeroUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;

#[derive(Args)]
pub struct Keep {
    /// Where clients connect, on loopback; any free port otherwise, which is printed.
    #[arg(long, default_value_t = 0)]
    port: u16,
    /// Values kept at most.
    #[arg(long, default_value = "100000")]
    items: NonZeroUsize,
    /// The longest value, in bytes.
    #[arg(long, default_value_t = 1 << 20)]
    value_most: usize,
    /// A user who may connect, as NAME=PASSWORD; may be given several times. Without any, everybody may.
    #[arg(long)]
    user: Vec<String>,
}

pub fn run(args: &Keep) -> Result<bool, String> {
    let user = |text: &String| {
        let (name, password) = text.split_once('=').ok_or(format!("--user {text}: it is NAME=PASSWORD"))?;
        Ok((name.to_owned(), password.to_owned()))
    };
    let users = args.user.iter().map(user).collect::<Result<_, String>>()?;
    let server = Server::new(Keeper::new(args.items, args.value_most), args.value_most, users);
    let stop = until_interrupted();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, args.port));
        let listener = TcpListener::bind(addr).await.map_err(|e| format!("{addr}: {e}"))?;
        println!("listening on {}", listener.local_addr().map_err(|e| e.to_string())?);
        tokio::task::spawn_local(server.clone().serve(listener));
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        println!("{} requests changed something", server.ran());
        Ok(true)
    })
}
