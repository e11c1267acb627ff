//! The `aniseyoke-control` program: runs a control service or a relay, sends operators' requests to one, and
//! measures the latency of publishing.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod cli;
mod error;
mod measure;
mod serve;

use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use aniseyoke_control::operators::call;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::Stamp;
use clap::Parser;
use cli::{Cli, Command, OperatorsAddr};
use error::CommandError;
use serde_json::Value;
use std::path::Path;
use std::process::ExitCode;

/// Writes a line to standard error, with the program's name as prefix.
fn warn(message: &str) {
    eprintln!("aniseyoke-control: {message}");
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            warn(&error.to_string());
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(args) => match serve::serve(args)? {},
        Command::Relay(args) => match serve::relay(args)? {},
        Command::Purge { operators, publisher, sequence, keys } => {
            request(&operators, &OperatorRequest::Purge { publisher, sequence, keys })
        }
        Command::Purges { operators } => request(&operators, &OperatorRequest::PurgeStatus),
        Command::Publish { operators, file, plan } => publish(&operators, &file, plan.as_deref()),
        Command::RollBack { operators, epoch, number } => {
            let to = Stamp { epoch, number };
            request(&operators, &OperatorRequest::RollBack { to, plan: Plan::default() })
        }
        Command::Halt { operators, reason } => request(&operators, &OperatorRequest::Halt { reason }),
        Command::Status { operators } => request(&operators, &OperatorRequest::Status),
        Command::Measure(measure) => Ok(measure::run(&measure)?),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)
}

fn read_toml(file: &Path) -> Result<Value, CommandError> {
    let text = std::fs::read_to_string(file).map_err(CommandError::at(file.display()))?;
    let table: toml::Table = text.parse().map_err(CommandError::at::<toml::de::Error>(file.display()))?;
    serde_json::to_value(table).map_err(CommandError::at(file.display()))
}

fn publish(operators: &OperatorsAddr, file: &Path, plan: Option<&Path>) -> Result<(), CommandError> {
    let body = read_toml(file)?;
    let plan = match plan {
        Some(plan) => serde_json::from_value(read_toml(plan)?).map_err(CommandError::at(plan.display()))?,
        None => Plan::default(),
    };
    request(operators, &OperatorRequest::Publish { body, plan })
}

/// Sends a request to a service and prints the response.
fn request(operators: &OperatorsAddr, request: &OperatorRequest) -> Result<(), CommandError> {
    match runtime()?.block_on(call(operators.addr, request))? {
        OperatorResponse::Rejected { reason } => Err(CommandError::Rejected(reason)),
        response => {
            let text = serde_json::to_string_pretty(&response);
            println!("{}", text.map_err(CommandError::at("the response"))?);
            Ok(())
        }
    }
}
