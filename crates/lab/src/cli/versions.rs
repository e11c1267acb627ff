//! `versions`: measures the cost of configuration versions in a fleet of real proxies.

use super::error::CliError;
use super::save_json;
use aniseyoke_lab_load::Percentiles;
use aniseyoke_lab_process::find_proxy;
use aniseyoke_lab_scale::versions::{measure, FleetSize};
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub struct VersionsArgs {
    /// Number of real proxies that connect to the control service.
    #[arg(long, default_value_t = 50)]
    proxies: usize,
    /// Number of versions after the first; each changes one route.
    #[arg(long, default_value_t = 10)]
    versions: u64,
    /// Number of routes in each version.
    #[arg(long, default_value_t = 10_000)]
    routes: u64,
    /// Executable of the proxy, as for `try`.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Write the figures as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn print_percentiles(name: &str, p: &Percentiles) {
    println!("{name:<44} p50 {:>9.3} ms   p99 {:>9.3} ms   max {:>9.3} ms", p.p50_ms, p.p99_ms, p.max_ms);
}

pub fn run(args: &VersionsArgs) -> Result<bool, CliError> {
    if args.proxies == 0 || args.proxies > 500 || args.routes > 100_000 || args.versions > 1000 {
        let reason = "arguments must be 1 to 500 proxies, at most 1,000 versions and at most 100,000 routes";
        return Err(CliError::Argument(reason.into()));
    }
    let size = FleetSize { proxies: args.proxies, versions: args.versions, routes: args.routes };
    let measured = measure(size, &find_proxy(args.proxy.clone())?)?;
    println!("{} proxies, {} routes, snapshot of {} bytes", measured.proxies, args.routes, measured.bytes);
    for (n, version) in measured.versions.iter().enumerate() {
        let name =
            if n == 0 { "snapshot, in force after".to_owned() } else { format!("delta {n}, in force after") };
        print_percentiles(&name, &version.in_force);
    }
    print_percentiles("swap, serving thread blocked", &measured.swaps);
    print_percentiles("calls at one proxy, nothing published", &measured.calls_before);
    print_percentiles("calls at one proxy, versions published", &measured.calls_during);
    let service: f64 = measured.versions.iter().map(|v| v.service_ms).sum();
    println!(
        "CPU per version: service {:.1} ms, each proxy {:.1} ms; memory per proxy {:.1} MB before, {:.1} MB after",
        service / measured.versions.len() as f64,
        measured.proxy_ms,
        measured.memory_before_mb,
        measured.memory_after_mb
    );
    save_json(&measured, args.json.as_deref())?;
    Ok(true)
}
