//! The command line of the laboratory, `aniseyoke-lab`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod cli;
mod pass_through;

use std::process::ExitCode;

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    cli::run()
}
