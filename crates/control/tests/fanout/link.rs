//! A network link between two processes that can be disconnected or lose the traffic of either direction.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

#[derive(Default)]
struct State {
    cut: AtomicBool,
    /// Whether traffic to the upstream is lost.
    lost_up: AtomicBool,
    /// Whether traffic from the upstream is lost.
    lost_down: AtomicBool,
    is_stopping: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// A TCP proxy that forwards connections to an address.
pub struct Link {
    pub addr: SocketAddr,
    state: Arc<State>,
    thread: Option<JoinHandle<()>>,
}

impl Link {
    pub fn to(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(State::default());
        let shared = state.clone();
        let thread = std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                if shared.is_stopping.load(Ordering::Relaxed) {
                    return;
                }
                // A connection during a disconnection is closed at once.
                if shared.cut.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(upstream) else { continue };
                forward(&shared, &client, &server, true);
                forward(&shared, &server, &client, false);
                shared.streams.lock().expect("not poisoned").extend([client, server]);
            }
        });
        Link { addr, state, thread: Some(thread) }
    }

    /// Closes all connections and closes new ones at once, or accepts connections again.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::Relaxed);
        if cut {
            for stream in self.state.streams.lock().expect("not poisoned").drain(..) {
                // The connection may be closed already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Sets whether traffic to the upstream (`up`) and from it (`down`) is lost.
    pub fn lose(&self, up: bool, down: bool) {
        self.state.lost_up.store(up, Ordering::Relaxed);
        self.state.lost_down.store(down, Ordering::Relaxed);
    }
}

fn forward(state: &Arc<State>, from: &TcpStream, to: &TcpStream, up: bool) {
    let (state, clones) = (state.clone(), (from.try_clone(), to.try_clone()));
    let (Ok(mut from), Ok(mut to)) = clones else { return };
    std::thread::spawn(move || {
        let mut chunk = vec![0; 64 << 10];
        while let Ok(n @ 1..) = from.read(&mut chunk) {
            let lost = if up { &state.lost_up } else { &state.lost_down };
            if !lost.load(Ordering::Relaxed) && to.write_all(&chunk[..n]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    });
}

impl Drop for Link {
    fn drop(&mut self) {
        self.cut(true);
        self.state.is_stopping.store(true, Ordering::Relaxed);
        // Wakes up the thread, which is blocked in accept.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1));
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the link did not panic");
        }
    }
}
