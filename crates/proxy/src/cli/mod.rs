//! The command line.

mod configuration;
mod ctl;

use crate::operator;
use aniseyoke_config::ConfigError;
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status for an invalid command line, the same as clap's.
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
    /// Serve clients as configured by `PROXY_CONFIG` and the operator's file (the default without a command).
    Serve(Serve),
    /// Check, explain and compare operator's files.
    #[command(subcommand)]
    Config(configuration::Command),
    /// Call a running proxy's admin endpoint.
    Ctl(ctl::Ctl),
    /// Print a shell's completion script for this program.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Print the manual page, in roff.
    Man,
}

#[derive(Args, Clone, Default)]
struct Serve {
    /// The operator's file; without it only the environment overrides the platform's settings.
    #[arg(long, value_name = "FILE", env = operator::FILE_VARIABLE)]
    file: Option<PathBuf>,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Shape {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Runs the command that the command line names, and returns the exit status of the process.
pub fn run() -> ExitCode {
    aniseyoke_logging::install_panic_hook();
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => return print_usage(&error),
    };
    match cli.command {
        None => crate::serve::run(cli.serve.file),
        Some(Command::Serve(serve)) => crate::serve::run(serve.file.or(cli.serve.file)),
        Some(Command::Config(command)) => print_result(configuration::run(&command)),
        Some(Command::Ctl(ctl)) => print_result(ctl::run(&ctl)),
        Some(Command::Completions { shell }) => print_result(render(|out| {
            clap_complete::generate(shell, &mut Cli::command(), "aniseyoke", out);
            Ok(())
        })),
        Some(Command::Man) => print_result(render(|out| clap_mangen::Man::new(Cli::command()).render(out))),
    }
}

/// Renders a text to a buffer, so that a closed standard output does not make the renderer fail.
fn render(write: impl FnOnce(&mut Vec<u8>) -> std::io::Result<()>) -> Result<String, Vec<String>> {
    let mut text = Vec::new();
    write(&mut text).map_err(|e| vec![e.to_string()])?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Prints the requested help or version, or the errors of the command line.
fn print_usage(error: &clap::Error) -> ExitCode {
    if !error.use_stderr() {
        // A reader that has closed standard output needs no error.
        let _ = error.print();
        return ExitCode::SUCCESS;
    }
    let styled = error.render();
    let text = if std::io::stderr().is_terminal() { styled.ansi().to_string() } else { styled.to_string() };
    aniseyoke_logging::print_lines(text.lines().map(str::to_owned));
    ExitCode::from(USAGE_ERROR)
}

/// Prints an answer to standard output, or the errors to standard error, one per line.
fn print_result(result: Result<String, Vec<String>>) -> ExitCode {
    use std::io::Write as _;
    match result {
        Ok(text) => {
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(errors) => {
            aniseyoke_logging::print_lines(errors.iter().map(|error| format!("aniseyoke: {error}")));
            ExitCode::FAILURE
        }
    }
}

fn lines(errors: Vec<ConfigError>) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

#[cfg(test)]
mod tests;
