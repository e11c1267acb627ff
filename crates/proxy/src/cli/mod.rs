//! The command line.

mod configuration;
mod ctl;

use crate::operator;
use aniseyoke_config::ConfigError;
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

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
    #[arg(long, value_name = "FILE", env = operator::FILE)]
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
    let cli = Cli::parse();
    match cli.command {
        None => crate::serve::run(cli.serve.file),
        Some(Command::Serve(serve)) => crate::serve::run(serve.file.or(cli.serve.file)),
        Some(Command::Config(command)) => told(configuration::run(&command)),
        Some(Command::Ctl(ctl)) => told(ctl::run(&ctl)),
        Some(Command::Completions { shell }) => told(printed(|out| {
            clap_complete::generate(shell, &mut Cli::command(), "aniseyoke", out);
            Ok(())
        })),
        Some(Command::Man) => told(printed(|out| clap_mangen::Man::new(Cli::command()).render(out))),
    }
}

/// Prints what is written to a buffer. A reader that has gone has seen enough.
fn printed(write: impl FnOnce(&mut Vec<u8>) -> std::io::Result<()>) -> Result<String, Vec<String>> {
    let mut text = Vec::new();
    write(&mut text).map_err(|e| vec![e.to_string()])?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Prints an answer, or what is wrong, a line each.
fn told(answer: Result<String, Vec<String>>) -> ExitCode {
    use std::io::Write as _;
    match answer {
        Ok(text) => {
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            let mut out = std::io::stderr().lock();
            faults.iter().for_each(|fault| _ = writeln!(out, "aniseyoke: {fault}"));
            ExitCode::FAILURE
        }
    }
}

fn lines(faults: Vec<ConfigError>) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_definitions_are_sound_and_every_command_and_option_is_explained() {
        fn look(command: &clap::Command) {
            assert!(command.get_about().is_some(), "{} is not explained", command.get_name());
            for arg in command.get_arguments().filter(|a| !["help", "version"].contains(&a.get_id().as_str()))
            {
                assert!(
                    arg.get_help().is_some(),
                    "{} of {} is not explained",
                    arg.get_id(),
                    command.get_name()
                );
            }
            command.get_subcommands().filter(|c| c.get_name() != "help").for_each(look);
        }
        Cli::command().debug_assert();
        look(&Cli::command());
    }

    #[test]
    fn a_bare_start_serves() {
        assert!(Cli::try_parse_from(["aniseyoke"]).expect("bare").command.is_none());
        let cli = Cli::try_parse_from(["aniseyoke", "serve", "--file", "f"]).expect("serve");
        assert!(matches!(cli.command, Some(Command::Serve(Serve { file: Some(_) }))));
        assert!(Cli::try_parse_from(["aniseyoke", "--fiel", "f"]).is_err());
    }
}
