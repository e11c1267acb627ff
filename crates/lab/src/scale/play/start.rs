//! Starts everything of a run: the control service, links and relays, real proxies, hosts of hollow members.

use super::super::host::Hosted;
use super::super::layout::{self, Place};
use super::super::link::{self, Takes};
use super::super::member::Spec;
use super::super::plan::{Role, Topology};
use super::super::procs::Procs;
use super::{Programs, Run};
use crate::clock::mix;
use crate::day::{proxy_config, Day};
use crate::site::Site;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

impl Run<'_> {
    /// Starts the root, links and relays; its operators' door, and where each site's members are told.
    pub(super) fn start_control(
        &mut self,
        programs: &Programs,
        folder: &Path,
        carrier: &link::Carrier,
    ) -> Result<(SocketAddr, Vec<Vec<SocketAddr>>), String> {
        let (plan, purging) = (self.plan, self.purging());
        let any = "127.0.0.1:0";
        let batch = |span: Duration| format!("{}ms", span.as_millis().max(1));
        let (control, dir) = (programs.control.clone(), folder.join("root"));
        let root_batch = batch(plan.batch.root.0);
        self.root = self.procs.add("root".into(), move || {
            let mut command = Command::new(&control);
            command.args(["serve", "--listen", any, "--door", any, "--dir"]).arg(&dir);
            if purging {
                command.args(["--purges", "--batch", &root_batch]);
            }
            command
        })?;
        let found = self.procs.addrs(&[self.root], &["proxies connect at ", "operators call at "])?;
        let (root, door) = (found[0][0], found[0][1]);
        let linked = layout::linked(plan, self.seed);
        for (region, linked) in linked.into_iter().enumerate() {
            let takes =
                Takes { delay: layout::delay(plan, self.seed, region), jitter: layout::jitter(plan, region) };
            let open = || link::open(&carrier.handle, root, takes, mix(self.seed, 6, region as u64));
            let opened = linked.then(open).transpose();
            self.links.push(opened.map_err(|e| format!("a link: {e}"))?);
        }
        let links: Vec<SocketAddr> = self.links.iter().map(|l| l.as_ref().map_or(root, |l| l.addr)).collect();
        if plan.topology == Topology::Direct {
            let site = |n| vec![links[layout::site(plan, n).region]];
            return Ok((door, (0..plan.sites()).map(site).collect()));
        }
        let relay_batch = batch(plan.batch.relay.0);
        let start = |procs: &mut Procs, role, n, upstream: Vec<SocketAddr>| {
            // A relay that is started again is found where it was.
            let listen = Rc::new(Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))));
            let (control, kept, batch) = (programs.control.clone(), listen.clone(), relay_batch.clone());
            let name = layout::name(role, n);
            let upstream = upstream.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
            let own = name.clone();
            let n = procs.add(name, move || {
                let mut command = Command::new(&control);
                command.args(["relay", "--listen", &kept.get().to_string(), "--upstream", &upstream]);
                command.args(["--name", &own, "--batch", &batch]);
                command
            })?;
            Ok::<_, String>((n, listen))
        };
        let tier = |procs: &mut Procs, role, upstream: Vec<Vec<SocketAddr>>| {
            let mut started = Vec::new();
            for (n, upstream) in upstream.into_iter().enumerate() {
                started.push(start(procs, role, n, upstream)?);
            }
            let of: Vec<usize> = started.iter().map(|s| s.0).collect();
            let found = procs.addrs(&of, &["proxies connect at "])?;
            let addrs: Vec<SocketAddr> = found.into_iter().map(|f| f[0]).collect();
            started.iter().zip(&addrs).for_each(|(s, addr)| s.1.set(*addr));
            Ok::<_, String>((of, addrs))
        };
        let upstream = links.iter().map(|link| vec![*link]).collect();
        let (of, regions) = tier(&mut self.procs, Role::RegionRelay, upstream)?;
        self.regions = of;
        let sites = 0..plan.sites();
        let upstream = sites.clone().map(|n| vec![regions[layout::site(plan, n).region]]).collect();
        let (of, addrs) = tier(&mut self.procs, Role::SiteRelay, upstream)?;
        self.sites = of;
        // A member whose site's relay is gone goes to its region's.
        let tells = sites.map(|n| vec![addrs[n], regions[layout::site(plan, n).region]]);
        Ok((door, tells.collect()))
    }

    pub(super) fn start_real(
        &mut self,
        programs: &Programs,
        folder: &Path,
        day: &Day,
        site: &Site,
        tells: &[Vec<SocketAddr>],
    ) -> Result<(), String> {
        for n in 0..self.plan.real() {
            let place = layout::member(self.plan, Role::Real, n);
            let dir = folder.join(layout::name(Role::Real, n));
            let write = |name: &str, text: String| {
                let file = dir.join(name);
                std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
                Ok::<_, String>(file)
            };
            std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            let config = proxy_config(day, n, site.discovery[n], &site.known[n]);
            let config = write("config.json", config.to_string())?;
            let services: Vec<String> = tells[place.site].iter().map(|a| format!("\"{a}\"")).collect();
            // Every line about a version is wanted.
            let text = format!("[log]\nburst = 10000\n[control]\nservices = [{}]\n", services.join(", "));
            let operator = write("operator.toml", text)?;
            let program = programs.proxy.clone();
            let proxy = self.procs.add(layout::name(Role::Real, n), move || {
                let mut command = Command::new(&program);
                command.env_clear().env("PROXY_CONFIG", &config).env("TMPDIR", &dir);
                command.env("ANISEYOKE_FILE", &operator).current_dir(&dir);
                command
            })?;
            self.reals.push(proxy);
        }
        let of = self.reals.clone();
        self.procs.addrs(&of, &["listening on "]).map(|_| ())
    }

    pub(super) fn start_hosts(
        &mut self,
        programs: &Programs,
        day: &Day,
        list: Option<SocketAddr>,
        tells: &[Vec<SocketAddr>],
    ) -> Result<(), String> {
        let plan = self.plan;
        let (hosts, proxies) = (*plan.hosts.get_ref(), plan.count(Role::Proxy));
        let must_ask_in = u64::try_from(day.site.roster.must_ask_in.as_nanos()).unwrap_or(u64::MAX);
        let all = proxies + plan.real();
        let spec = |role: Role, n: usize| {
            let Place { site: at, zone, region } = layout::member(plan, role, n);
            let labels = [("region", region), ("zone", zone), ("site", at)];
            Spec {
                name: layout::name(role, n),
                node: role == Role::Node,
                labels: labels.iter().map(|(k, v)| ((*k).to_owned(), v.to_string())).collect(),
                services: tells[at].clone(),
                list: list.filter(|_| role == Role::Proxy),
                place: ((plan.real() + n) as u32, all as u32),
            }
        };
        for host in 0..hosts {
            let of = |role: Role| (host..plan.count(role)).step_by(hosts).map(move |n| spec(role, n));
            let hosted = Hosted {
                seed: self.seed,
                purging: self.purging(),
                join_ms: plan.join.0.as_millis() as u64,
                list_every: aniseyoke_pace::PollRules::default_interval(must_ask_in),
                members: of(Role::Proxy).chain(of(Role::Node)).collect(),
            };
            let lab = programs.lab.clone();
            let n = self.procs.add(format!("host-{host}"), move || {
                let mut command = Command::new(&lab);
                command.arg("hollow");
                command
            })?;
            self.hosts.push(n);
            let line = serde_json::to_string(&hosted).map_err(|e| e.to_string())?;
            self.procs.write(n, &line)?;
        }
        Ok(())
    }
}
