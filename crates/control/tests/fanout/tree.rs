//! A root and relays as child processes on separate ports.

use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use aniseyoke_control::operators::{call, CallError};
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time limit of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds.
pub fn until(expected: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {expected}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A process of a root or a relay. It is killed on drop.
pub struct Process {
    child: Child,
    pub proxies: SocketAddr,
    pub operators: SocketAddr,
    logged: Arc<Mutex<Vec<String>>>,
}

fn addr(lines: &Receiver<String>, expected: &str) -> SocketAddr {
    loop {
        let line = lines.recv_timeout(TIMEOUT).unwrap_or_else(|e| panic!("{expected}: {e}"));
        if let Some((_, addr)) = line.split_once(expected) {
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
        let (sender, lines) = channel();
        let logged = Arc::new(Mutex::new(Vec::new()));
        let (lines_seen, stderr) = (logged.clone(), child.stderr.take().expect("its errors"));
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lines_seen.lock().expect("not poisoned").push(line.clone());
                // The receiver is dropped once the addresses are known.
                let _ = sender.send(line);
            }
        });
        let proxies = addr(&lines, "proxies connect at");
        let operators = addr(&lines, "operators call at");
        Process { child, proxies, operators, logged }
    }

    /// Starts a root with its log in this directory and with these additional arguments.
    pub fn root(directory: &Path, listen: Option<SocketAddr>, extra_args: &[&str]) -> Self {
        let listen = listen.map_or("127.0.0.1:0".into(), |at| at.to_string());
        let directory = directory.to_str().expect("text");
        let args = ["serve", "--purges", "--listen", &listen, "--door", "127.0.0.1:0", "--dir", directory];
        Self::start(&[&args, extra_args].concat())
    }

    /// Starts a relay of these upstreams.
    pub fn relay(
        name: &str,
        listen: Option<SocketAddr>,
        upstream: &[SocketAddr],
        extra_args: &[&str],
    ) -> Self {
        let listen = listen.map_or("127.0.0.1:0".into(), |at| at.to_string());
        let upstream: Vec<String> = upstream.iter().map(SocketAddr::to_string).collect();
        let upstream = upstream.join(",");
        let args = ["relay", "--name", name, "--listen", &listen, "--door", "127.0.0.1:0"];
        Self::start(&[&args, &["--upstream", &upstream][..], extra_args].concat())
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }

    /// Whether the process has logged a line that contains this text.
    pub fn has_logged(&self, expected: &str) -> bool {
        self.logged.lock().expect("not poisoned").iter().any(|line| line.contains(expected))
    }

    /// Sends an operator request.
    pub fn call(&self, request: &OperatorRequest) -> Result<OperatorResponse, CallError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(call(self.operators, request))
    }

    /// Purges objects; returns the epoch and the position of the log afterwards.
    pub fn purge(&self, publisher: &str, sequence: u64, keys: &[&str]) -> (u64, u64) {
        let keys = keys.iter().map(|key| (*key).to_owned()).collect();
        let call = OperatorRequest::Purge { publisher: publisher.into(), sequence, keys };
        match self.call(&call) {
            Ok(OperatorResponse::PurgeAccepted { epoch, through }) => (epoch, through),
            other => panic!("{other:?}"),
        }
    }

    /// The position up to which purges are applied, the number of lagging members, and the names of those that are named.
    pub fn purge_status(&self) -> (u64, u64, Vec<String>) {
        match self.call(&OperatorRequest::PurgeStatus) {
            Ok(OperatorResponse::PurgeStatus { applied, lagging, unnamed, .. }) => {
                (applied, lagging.len() as u64 + unnamed, lagging)
            }
            other => panic!("{other:?}"),
        }
    }

    /// Waits until all members have applied all purges up to this number.
    pub fn wait_applied(&self, through: u64) {
        until(&format!("{through} applied everywhere"), || {
            let (applied, lagging, _) = self.purge_status();
            applied >= through && lagging == 0
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have been killed before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
