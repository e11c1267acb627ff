//! The command line.

mod configuration;
mod ctl;

use crate::operator;
use aniseyoke_config::ConfigError;
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

/// The status of a process whose command line was wrong, as clap has it.
const USAGE_ERROR: u8 = 2;

/// A caching proxy between clients and a fleet of cache nodes.
#[derive(Parser)]
#[command(name = "aniseyoke", version, about, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: Serve,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients, as `PROXY_CONFIG` and the operator's file say. A bare start does the same.
    Serve(Serve),
    /// Check, explain and compare operator's files.
    #[command(subcommand)]
    Config(configuration::Command),
    /// Call at a running proxy's door for operators.
    Ctl(ctl::Ctl),
    /// Print what a shell needs to complete this command line.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Print the manual page, in roff.
    Man,
}

#[derive(Args, Clone, Default)]
struct Serve {
    /// The operator's file; without it only the environment sets what is beyond the platform's settings.
    #[arg(long, value_name = "FILE", env = operator::FILE_VARIABLE)]
    file: Option<PathBuf>,
}

/// The form in which something is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Shape {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Does what the command line says.
pub fn run() -> ExitCode {
    aniseyoke_logging::install_panic_hook();
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(told) => return print_usage(&told),
    };
    match cli.command {
        None => crate::serve::run(cli.serve.file),
        Some(Command::Serve(serve)) => crate::serve::run(serve.file.or(cli.serve.file)),
        Some(Command::Config(command)) => print_result(configuration::run(&command)),
        Some(Command::Ctl(ctl)) => print_result(ctl::run(&ctl)),
        Some(Command::Completions { shell }) => print_result(rendered(|out| {
            clap_complete::generate(shell, &mut Cli::command(), "aniseyoke", out);
            Ok(())
        })),
        Some(Command::Man) => print_result(rendered(|out| clap_mangen::Man::new(Cli::command()).render(out))),
    }
}

/// Renders a text in a buffer. A reader that has gone has seen enough.
fn rendered(write: impl FnOnce(&mut Vec<u8>) -> std::io::Result<()>) -> Result<String, Vec<String>> {
    let mut text = Vec::new();
    write(&mut text).map_err(|e| vec![e.to_string()])?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Prints the help or version that was asked for, or what is wrong with the command line.
fn print_usage(told: &clap::Error) -> ExitCode {
    if !told.use_stderr() {
        // A reader that has gone has seen enough.
        let _ = told.print();
        return ExitCode::SUCCESS;
    }
    let styled = told.render();
    let text = if std::io::stderr().is_terminal() { styled.ansi().to_string() } else { styled.to_string() };
    aniseyoke_logging::print_lines(text.lines().map(str::to_owned));
    ExitCode::from(USAGE_ERROR)
}

/// Prints an answer, or what is wrong, a line each.
fn print_result(answer: Result<String, Vec<String>>) -> ExitCode {
    use std::io::Write as _;
    match answer {
        Ok(text) => {
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            aniseyoke_logging::print_lines(faults.iter().map(|fault| format!("aniseyoke: {fault}")));
            ExitCode::FAILURE
        }
    }
}

fn lines(faults: Vec<ConfigError>) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

#[cfg(test)]
mod tests;
