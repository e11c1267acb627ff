//! `versions`: measures versions of the configuration at a fleet of real proxies.

use super::error::CliError;
use super::save_json;
use aniseyoke_lab_load::Percentiles;
use aniseyoke_lab_process::find_proxy;
use aniseyoke_lab_scale::versions::{measure, FleetSize};
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub struct VersionsArgs {
    /// Real proxies behind the service.
    #[arg(long, default_value_t = 50)]
    proxies: usize,
    /// Versions after the first, each with one route changed.
    #[arg(long, default_value_t = 10)]
    versions: u64,
    /// Routes in each version.
    #[arg(long, default_value_t = 10_000)]
    routes: u64,
    /// The proxy's program, as for `try`.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Keep the figures as JSON in this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn print_percentiles(name: &str, p: &Percentiles) {
    println!("{name:<44} p50 {:>9.3} ms   p99 {:>9.3} ms   most {:>9.3} ms", p.p50_ms, p.p99_ms, p.max_ms);
}

pub fn run(args: &VersionsArgs) -> Result<bool, CliError> {
    if args.proxies == 0 || args.proxies > 500 || args.routes > 100_000 || args.versions > 1000 {
        let why = "1 to 500 proxies, at most 1,000 versions and at most 100,000 routes";
        return Err(CliError::Argument(why.into()));
    }
    let size = FleetSize { proxies: args.proxies, versions: args.versions, routes: args.routes };
    let measured = measure(size, &find_proxy(args.proxy.clone())?)?;
    println!("{} proxies, {} routes, {} bytes whole", measured.proxies, args.routes, measured.bytes);
    for (n, version) in measured.versions.iter().enumerate() {
        let name =
            if n == 0 { "whole, in force after".to_owned() } else { format!("delta {n}, in force after") };
        print_percentiles(&name, &version.in_force);
    }
    print_percentiles("swap, the serving thread held up", &measured.swaps);
    print_percentiles("calls at one proxy, nothing published", &measured.calls_before);
    print_percentiles("calls at one proxy while versions came", &measured.calls_during);
    let service: f64 = measured.versions.iter().map(|v| v.service_ms).sum();
    println!(
        "CPU for a version: service {:.1} ms, each proxy {:.1} ms; memory of a proxy {:.1} MB before, {:.1} MB after",
        service / measured.versions.len() as f64,
        measured.proxy_ms,
        measured.memory_before_mb,
        measured.memory_after_mb
    );
    save_json(&measured, args.json.as_deref())?;
    Ok(true)
}
