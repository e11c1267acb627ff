//! `slopes`: measures slopes.

use super::error::CliError;
use aniseyoke_lab_capacity::slopes::{measure, save, select, Setup, Slope};
use aniseyoke_lab_process::{find_control, find_proxy};
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub struct SlopesArgs {
    /// Names of families of slopes, or of slopes; by default all.
    names: Vec<String>,
    /// Folder of the slopes, with one JSON file for each.
    #[arg(long, default_value = "docs/capacity/slopes")]
    out: PathBuf,
    /// Record that the machine ran other work at the same time.
    #[arg(long)]
    shared: bool,
    /// Only list the families and their slopes.
    #[arg(long)]
    list: bool,
    /// Executable of the proxy, as for `try`.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Executable of the control service; by default the one in the directory of this program, which is built first
    /// under cargo.
    #[arg(long)]
    control: Option<PathBuf>,
}

fn print_slope(slope: &Slope) {
    let Slope { name, unit, fit, held_out, .. } = slope;
    let power = fit.power.map_or("-".to_owned(), |power| format!("{power:.2}"));
    let line = if slope.is_linear() { "straight" } else { "NOT straight" };
    println!(
        "{name:<26} {:.4e} + x * {:.4e} (+- {:.1e}) {unit}, power {power}; at {} {:.4e}, predicted {:.4e} +- {:.1e}: {line}",
        fit.intercept, fit.slope, fit.slope_se, held_out.x, held_out.measured, held_out.predicted, held_out.predicted_se
    );
}

pub fn run(args: &SlopesArgs) -> Result<bool, CliError> {
    let families = select(&args.names)?;
    if args.list {
        for family in families {
            println!("{}: against {}, at {:?}", family.name, family.against, family.at);
            family.quantities.iter().for_each(|q| println!("  {}: {}, {}", q.name, q.quantity, q.unit));
        }
        return Ok(true);
    }
    let setup = Setup {
        proxy: find_proxy(args.proxy.clone())?,
        control: find_control(args.control.clone())?,
        shared: args.shared,
    };
    for family in families {
        let slopes = measure(family, &setup, |x, values| {
            let values: Vec<String> = values.iter().map(|v| format!("{v:.4e}")).collect();
            eprintln!("{} at {x}: {}", family.name, values.join(", "));
        })?;
        for slope in &slopes {
            save(slope, &args.out)?;
            print_slope(slope);
        }
    }
    Ok(true)
}
