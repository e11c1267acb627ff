//! The proxy as a process of its own, started by the command of the deploy file.

use crate::record::Record;
use crate::site::Site;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Proxy {
    pub addr: SocketAddr,
    child: Child,
    dir: PathBuf,
}

/// The settings of a small deployment: the classes, tenants and limits of the site seoul-tracking.
const SETTINGS: &str = r#"{"caps":{"attempts_cap":4,"cancelling":true,"conn_idle_ns":30000000000,
"connect_timeout_ns":250000000,"max_retry_after_ns":2000000000,"second_copies":true},
"categories":[
{"deadline_ns":1500000000,"dedup_window_ns":6000000000,"effect":"safe","group":"all","late_value":0.0,"name":"track-lookup","promise_ns":600000000,"stream":false,"value":2.0},
{"deadline_ns":1500000000,"dedup_window_ns":6000000000,"effect":"unsafe","group":"all","late_value":0.0,"name":"cod-settle","promise_ns":800000000,"stream":false,"value":10.0},
{"deadline_ns":6000000000,"dedup_window_ns":6000000000,"effect":"keyed","group":"all","late_value":0.0,"name":"scan-event","promise_ns":2500000000,"stream":false,"value":2.0}],
"customers":[{"fraction":0.55,"name":"hanbit-main","quota_rps":178.75},{"fraction":0.26,"name":"daeyang-net","quota_rps":84.5},{"fraction":0.19,"name":"seorin-net","quota_rps":61.75}],
"discovery":"subscribe","family_info":{"mode":"aside","origin_kind":3},"localities":["hall"],
"machine_types":["fast-core","mid-core","slow-core","ledger"],"n_instances":1,"over_share_worth":0.05,
"rules":{"cold_from":0.4,"cold_ns":6000000000,"fall_multiple":3.0,"fall_ns":2000000000,"must_ask_in_ns":10000000000},
"self_index":0,"worth_by":"work","zone":0}"#;

fn run_command() -> io::Result<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find(|line| line.starts_with("run ")).ok_or(io::ErrorKind::NotFound)?;
    line.split('"').nth(1).map(str::to_owned).ok_or(io::ErrorKind::InvalidData.into())
}

impl Proxy {
    /// Starts the proxy and waits until it says yes to `GET /_health`. `dir` is a temporary folder.
    pub fn start(site: &Site, dir: &str, sockets: u32, log: &str, record: &Record) -> io::Result<Proxy> {
        Proxy::start_with(site, dir, 128, sockets, log, record)
    }

    /// The same, with a limit of memory in MB.
    pub fn start_with(
        site: &Site,
        dir: &str,
        memory_mb: u32,
        sockets: u32,
        log: &str,
        record: &Record,
    ) -> io::Result<Proxy> {
        let dir = PathBuf::from(dir);
        let addr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let config = format!(
            r#"{{"name":"p0","listen":"{addr}","discovery":"{}","seed":"6a77a23d6387cd0d","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{},"settings":{SETTINGS}}}"#,
            site.discovery,
            site.list()
        );
        let path = dir.join("config.json");
        fs::write(&path, config)?;
        let tmp = dir.join("proxy-tmp");
        fs::create_dir_all(&tmp)?;
        let command = run_command()?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .env("TMPDIR", &tmp)
            .env("PROXY_NAME", "p0")
            .env("PROXY_CONFIG", &path)
            .env("PROXY_LISTEN", addr.to_string())
            .env("PROXY_DISCOVERY", site.discovery.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(log)?)
            .spawn()?;
        fs::write(dir.join("pid"), child.id().to_string())?;
        record.line(&format!(
            "proxy: started by `{command}`, {memory_mb} MB, {sockets} sockets, clients at {addr}"
        ));
        let mut proxy = Proxy { addr, child, dir };
        let start = Instant::now();
        while !proxy.is_healthy() {
            if start.elapsed() > Duration::from_secs(20) || !proxy.runs() {
                return Err(io::Error::other("the proxy has not become ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line("proxy: answers GET /_health with 200");
        Ok(proxy)
    }

    /// Whether `GET /_health` is answered with 200 within a second.
    pub fn is_healthy(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut connection = crate::http::Connection::new(stream);
        let sent =
            connection.write(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
        sent.is_ok() && connection.read_answer().is_ok_and(|answer| answer.status() == 200)
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// Waits until the process has ended; false if it still runs at `until`.
    pub fn wait_until(&mut self, until: Instant) -> bool {
        while self.runs() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(self.dir.join("pid"));
    }
}
