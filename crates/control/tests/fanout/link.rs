//! A network link between two processes that can be cut, or lose the traffic of one direction.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

#[derive(Default)]
struct State {
    cut: AtomicBool,
    /// Whether traffic to the upstream end, and from it, is lost.
    lost_up: AtomicBool,
    lost_down: AtomicBool,
    end: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// Forwards connections to an address.
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
        let inner = state.clone();
        let thread = std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                if inner.end.load(Ordering::Relaxed) {
                    return;
                }
                // A connection during a cut is closed at once.
                if inner.cut.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(upstream) else { continue };
                forward(&inner, &near, &far, true);
                forward(&inner, &far, &near, false);
                inner.streams.lock().expect("not poisoned").extend([near, far]);
            }
        });
        Link { addr, state, thread: Some(thread) }
    }

    /// Closes all connections and accepts none, or accepts them again.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::Relaxed);
        if cut {
            for stream in self.state.streams.lock().expect("not poisoned").drain(..) {
                // It may have ended.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Sets whether traffic to the upstream, and from it, is lost.
    pub fn lose(&self, up: bool, down: bool) {
        self.state.lost_up.store(up, Ordering::Relaxed);
        self.state.lost_down.store(down, Ordering::Relaxed);
    }
}

fn forward(state: &Arc<State>, from: &TcpStream, to: &TcpStream, up: bool) {
    let (state, copies) = (state.clone(), (from.try_clone(), to.try_clone()));
    let (Ok(mut from), Ok(mut to)) = copies else { return };
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
        self.state.end.store(true, Ordering::Relaxed);
        // The thread waits for one more connection.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1));
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the link did not panic");
        }
    }
}
