//! Starts the parts of a run: the control service, links, relays, real proxies and hosts of hollow members.

use super::super::error::ScaleError;
use super::super::host::HostSpec;
use super::super::layout::{self, Location};
use super::super::link::{self, LinkDelay};
use super::super::member::MemberSpec;
use super::super::plan::{Role, Topology};
use super::{Programs, Run};
use aniseyoke_lab_day::clock::{mix, nanos};
use aniseyoke_lab_day::{proxy_config, Day, FileError};
use aniseyoke_lab_site::Site;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

/// A tier of relays, with their child numbers and addresses.
struct Tier {
    children: Vec<usize>,
    addrs: Vec<SocketAddr>,
}

/// The addresses of the control service and its relays.
pub(super) struct ControlAddrs {
    /// The address for operators.
    pub operators: SocketAddr,
    /// The addresses to which the members of each site connect, in order of preference.
    pub services: Vec<Vec<SocketAddr>>,
}

fn batch_text(span: Duration) -> String {
    format!("{}ms", span.as_millis().max(1))
}

impl Run<'_> {
    /// Starts the root, links and relays.
    pub(super) fn start_control(
        &mut self,
        programs: &Programs,
        folder: &Path,
        link_runtime: &link::LinkRuntime,
    ) -> Result<ControlAddrs, ScaleError> {
        let plan = self.plan;
        let (root, operators) = self.start_root(programs, folder)?;
        self.open_links(root, link_runtime)?;
        let links: Vec<SocketAddr> = self.links.iter().map(|l| l.as_ref().map_or(root, |l| l.addr)).collect();
        let region_of = |site| layout::site(plan, site).region;
        if plan.topology == Topology::Direct {
            let services = (0..plan.sites()).map(|site| vec![links[region_of(site)]]).collect();
            return Ok(ControlAddrs { operators, services });
        }
        let upstream = links.iter().map(|link| vec![*link]).collect();
        let regions = self.start_tier(programs, Role::RegionRelay, upstream)?;
        self.region_relays = regions.children;
        let upstream = (0..plan.sites()).map(|site| vec![regions.addrs[region_of(site)]]).collect();
        let sites = self.start_tier(programs, Role::SiteRelay, upstream)?;
        self.site_relays = sites.children;
        // A member whose site relay is down connects to the relay of its region.
        let services = |site| vec![sites.addrs[site], regions.addrs[region_of(site)]];
        Ok(ControlAddrs { operators, services: (0..plan.sites()).map(services).collect() })
    }

    /// Starts the control service, and returns its addresses for proxies and for operators.
    fn start_root(
        &mut self,
        programs: &Programs,
        folder: &Path,
    ) -> Result<(SocketAddr, SocketAddr), ScaleError> {
        let any = "127.0.0.1:0";
        let (control, dir) = (programs.control.clone(), folder.join("root"));
        let (purging, batch) = (self.purging(), batch_text(self.plan.batch.root.0));
        self.root = self.children.add("root".into(), move || {
            let mut command = Command::new(&control);
            command.args(["serve", "--listen", any, "--door", any, "--dir"]).arg(&dir);
            if purging {
                command.args(["--purges", "--batch", &batch]);
            }
            command
        })?;
        let found =
            self.children.wait_for_addrs(&[self.root], &["proxies connect at ", "operators call at "])?;
        Ok((found[0][0], found[0][1]))
    }

    /// Opens a link to the root for each region that has a delay or will be partitioned.
    fn open_links(&mut self, root: SocketAddr, link_runtime: &link::LinkRuntime) -> Result<(), ScaleError> {
        for (region, linked) in layout::linked(self.plan, self.seed).into_iter().enumerate() {
            let delay = layout::delay(self.plan, self.seed, region);
            let link_delay = LinkDelay { delay, jitter: layout::jitter(self.plan, region) };
            let open =
                || link::open(&link_runtime.handle, root, link_delay, mix(self.seed, 6, region as u64));
            self.links.push(linked.then(open).transpose().map_err(ScaleError::Link)?);
        }
        Ok(())
    }

    /// Starts a relay for each list of upstream addresses.
    fn start_tier(
        &mut self,
        programs: &Programs,
        role: Role,
        upstream: Vec<Vec<SocketAddr>>,
    ) -> Result<Tier, ScaleError> {
        let mut children = Vec::new();
        let mut listening = Vec::new();
        for (n, upstream) in upstream.into_iter().enumerate() {
            // After a restart a relay listens on the same address.
            let listen = Rc::new(Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))));
            let (control, listens) = (programs.control.clone(), listen.clone());
            let (name, batch) = (layout::name(role, n), batch_text(self.plan.batch.relay.0));
            let upstream = upstream.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
            let relay_name = name.clone();
            let child = self.children.add(name, move || {
                let mut command = Command::new(&control);
                command.args(["relay", "--listen", &listens.get().to_string(), "--upstream", &upstream]);
                command.args(["--name", &relay_name, "--batch", &batch]);
                command
            })?;
            children.push(child);
            listening.push(listen);
        }
        let found = self.children.wait_for_addrs(&children, &["proxies connect at "])?;
        let addrs: Vec<SocketAddr> = found.into_iter().map(|f| f[0]).collect();
        listening.iter().zip(&addrs).for_each(|(listen, addr)| listen.set(*addr));
        Ok(Tier { children, addrs })
    }

    /// Starts the real proxies, each in its own directory.
    pub(super) fn start_real(
        &mut self,
        programs: &Programs,
        folder: &Path,
        day: &Day,
        site: &Site,
        service_addrs: &[Vec<SocketAddr>],
    ) -> Result<(), ScaleError> {
        for n in 0..self.plan.real() {
            let location = layout::member(self.plan, Role::Real, n);
            let dir = folder.join(layout::name(Role::Real, n));
            let write = |name: &str, text: String| {
                let file = dir.join(name);
                std::fs::write(&file, text).map_err(FileError::at(&file))?;
                Ok::<_, ScaleError>(file)
            };
            std::fs::create_dir_all(&dir).map_err(FileError::at(&dir))?;
            let config = proxy_config(day, n, site.discovery[n], &site.initial_lists[n]);
            let config = write("config.json", config.to_string())?;
            let services: Vec<String> =
                service_addrs[location.site].iter().map(|a| format!("\"{a}\"")).collect();
            // The rate limit of the log must not drop lines about versions.
            let text = format!("[log]\nburst = 10000\n[control]\nservices = [{}]\n", services.join(", "));
            let operator = write("operator.toml", text)?;
            let program = programs.proxy.clone();
            let proxy = self.children.add(layout::name(Role::Real, n), move || {
                let mut command = Command::new(&program);
                command.env_clear().env("PROXY_CONFIG", &config).env("TMPDIR", &dir);
                command.env("ANISEYOKE_FILE", &operator).current_dir(&dir);
                command
            })?;
            self.real_proxies.push(proxy);
        }
        let of = self.real_proxies.clone();
        self.children.wait_for_addrs(&of, &["listening on "]).map(|_| ())
    }

    /// Starts the hosts, and sends each the specification of its hollow members.
    pub(super) fn start_hosts(
        &mut self,
        programs: &Programs,
        day: &Day,
        list: Option<SocketAddr>,
        service_addrs: &[Vec<SocketAddr>],
    ) -> Result<(), ScaleError> {
        let plan = self.plan;
        let (hosts, proxies) = (*plan.hosts.get_ref(), plan.count(Role::Proxy));
        let poll_within = nanos(day.site.discovery.poll_within);
        let all = proxies + plan.real();
        let spec = |role: Role, n: usize| {
            let Location { site: at, zone, region } = layout::member(plan, role, n);
            let labels = [("region", region), ("zone", zone), ("site", at)];
            MemberSpec {
                name: layout::name(role, n),
                node: role == Role::Node,
                labels: labels.iter().map(|(k, v)| ((*k).to_owned(), v.to_string())).collect(),
                services: service_addrs[at].clone(),
                list: list.filter(|_| role == Role::Proxy),
                place: ((plan.real() + n) as u32, all as u32),
            }
        };
        for host in 0..hosts {
            let of = |role: Role| (host..plan.count(role)).step_by(hosts).map(move |n| spec(role, n));
            let host_spec = HostSpec {
                seed: self.seed,
                purging: self.purging(),
                join_ms: plan.join.0.as_millis() as u64,
                poll_interval: aniseyoke_pace::PollRules::default_interval(poll_within),
                members: of(Role::Proxy).chain(of(Role::Node)).collect(),
            };
            let lab = programs.lab.clone();
            let n = self.children.add(format!("host-{host}"), move || {
                let mut command = Command::new(&lab);
                command.arg("hollow");
                command
            })?;
            self.hosts.push(n);
            let line = serde_json::to_string(&host_spec).map_err(ScaleError::Json)?;
            self.children.write(n, &line)?;
        }
        Ok(())
    }
}
