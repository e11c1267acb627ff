//! A root and relays as child processes on ports of their own.

use aniseyoke_control::frame::{FromOperator, ToOperator};
use aniseyoke_control::service::call;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Whatever is waited for comes within this time, or the test fails.
pub const WITHIN: Duration = Duration::from_secs(60);

/// Waits until something is so.
pub fn until(what: &str, mut so: impl FnMut() -> bool) {
    let start = Instant::now();
    while !so() {
        assert!(start.elapsed() < WITHIN, "not within {WITHIN:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A root or a relay. It is killed when this is dropped.
pub struct Process {
    child: Child,
    pub proxies: SocketAddr,
    pub door: SocketAddr,
    said: Arc<Mutex<Vec<String>>>,
}

fn addr(lines: &Receiver<String>, what: &str) -> SocketAddr {
    loop {
        let line = lines.recv_timeout(WITHIN).unwrap_or_else(|e| panic!("{what}: {e}"));
        if let Some((_, addr)) = line.split_once(what) {
            return addr.trim().parse().expect("an address");
        }
    }
}

impl Process {
    fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_aniseyoke-control"))
            .args(args)
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let (tell, lines) = channel();
        let said = Arc::new(Mutex::new(Vec::new()));
        let (keep, err) = (said.clone(), child.stderr.take().expect("its errors"));
        std::thread::spawn(move || {
            for line in BufReader::new(err).lines().map_while(Result::ok) {
                keep.lock().expect("whole").push(line.clone());
                // Nobody waits for these any more, later.
                let _ = tell.send(line);
            }
        });
        let proxies = addr(&lines, "proxies connect at");
        let door = addr(&lines, "operators call at");
        Process { child, proxies, door, said }
    }

    /// The root, with its log in this folder, and what else it is told.
    pub fn root(dir: &Path, listen: Option<SocketAddr>, more: &[&str]) -> Self {
        let listen = listen.map_or("127.0.0.1:0".into(), |at| at.to_string());
        let dir = dir.to_str().expect("text");
        let args = ["serve", "--purges", "--listen", &listen, "--door", "127.0.0.1:0", "--dir", dir];
        Self::start(&[&args, more].concat())
    }

    /// A relay that follows these.
    pub fn relay(name: &str, listen: Option<SocketAddr>, upstream: &[SocketAddr], more: &[&str]) -> Self {
        let listen = listen.map_or("127.0.0.1:0".into(), |at| at.to_string());
        let upstream: Vec<String> = upstream.iter().map(SocketAddr::to_string).collect();
        let upstream = upstream.join(",");
        let args = ["relay", "--name", name, "--listen", &listen, "--door", "127.0.0.1:0"];
        Self::start(&[&args, &["--upstream", &upstream][..], more].concat())
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }

    /// Whether it has said this.
    pub fn said(&self, what: &str) -> bool {
        self.said.lock().expect("whole").iter().any(|line| line.contains(what))
    }

    /// Makes an operator's call.
    pub fn call(&self, what: &FromOperator) -> Result<ToOperator, String> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(call(self.door, what))
    }

    /// Has objects dropped; where the log stands then.
    pub fn purge(&self, publisher: &str, sequence: u64, keys: &[&str]) -> (u64, u64) {
        let keys = keys.iter().map(|key| (*key).to_owned()).collect();
        let call = FromOperator::Purge { publisher: publisher.into(), sequence, keys };
        match self.call(&call) {
            Ok(ToOperator::Purging { epoch, through }) => (epoch, through),
            other => panic!("{other:?}"),
        }
    }

    /// How far purges are: done, how many lack something, and their names.
    pub fn far(&self) -> (u64, u64, Vec<String>) {
        match self.call(&FromOperator::Purges) {
            Ok(ToOperator::Purges { done, lacking, unnamed, .. }) => {
                (done, lacking.len() as u64 + unnamed, lacking)
            }
            other => panic!("{other:?}"),
        }
    }

    /// Waits until all below have done everything through this number.
    pub fn done(&self, through: u64) {
        until(&format!("{through} done everywhere"), || {
            let (done, lacking, _) = self.far();
            done >= through && lacking == 0
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have been killed before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
