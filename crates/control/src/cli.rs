//! The command line.

use crate::error::CommandError;
use crate::measure::Measure;
use aniseyoke_fanout::Settings;
use clap::{Args, Parser, Subcommand};
use humantime::parse_duration;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Publishes numbered versions of the configuration to proxies.
#[derive(Parser)]
#[command(version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve proxies and operators.
    Serve(ServeArgs),
    /// Follow a service or another relay, and forward versions and purges to children.
    Relay(RelayArgs),
    /// Purge objects everywhere. A call that is retried under the same sequence is numbered once.
    Purge {
        #[command(flatten)]
        operators: OperatorsAddr,
        /// The publisher's name.
        #[arg(long)]
        publisher: String,
        /// The publisher's own number of this call, rising.
        #[arg(long)]
        sequence: u64,
        /// The objects' keys.
        #[arg(required = true)]
        keys: Vec<String>,
    },
    /// Print how far purges have been applied, as JSON.
    Purges {
        #[command(flatten)]
        operators: OperatorsAddr,
    },
    /// Publish an operator's file as the newest version.
    Publish {
        #[command(flatten)]
        operators: OperatorsAddr,
        /// The operator's file, in TOML.
        file: PathBuf,
        /// How it is rolled out: a plan in TOML. Without it every proxy gets it at once.
        #[arg(long)]
        plan: Option<PathBuf>,
    },
    /// Publish the content of an earlier version as the newest version.
    RollBack {
        #[command(flatten)]
        operators: OperatorsAddr,
        /// The epoch of the earlier version.
        epoch: u64,
        /// Its number.
        number: u64,
    },
    /// Stop the rollout of the newest version.
    Halt {
        #[command(flatten)]
        operators: OperatorsAddr,
        /// The reason.
        #[arg(value_name = "WHY")]
        reason: String,
    },
    /// Print which proxy runs what, as JSON.
    Status {
        #[command(flatten)]
        operators: OperatorsAddr,
    },
    /// Measure the time from publishing to in force with emulated proxies on loopback.
    Measure(Measure),
}

/// The address of a service for operators.
#[derive(Args)]
pub struct OperatorsAddr {
    /// Where the service accepts operators' calls.
    #[arg(long = "door", value_name = "DOOR")]
    pub addr: SocketAddr,
}

/// Arguments of `serve`.
#[derive(Args)]
pub struct ServeArgs {
    /// Where proxies connect.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Where operators call.
    #[arg(long = "door", value_name = "DOOR")]
    pub operators: SocketAddr,
    /// The folder that holds the newest version, the epoch and the log of purges over restarts.
    #[arg(long = "dir", value_name = "DIR")]
    pub folder: PathBuf,
    /// Accept purges, store them in a log, and distribute them.
    #[arg(long)]
    pub purges: bool,
    /// Purges that arrive within this time are stored and sent as one batch.
    #[arg(long, default_value = "20ms", value_parser = parse_duration)]
    pub batch: Duration,
    /// A child that lags for longer is not waited for before purges count as applied, but named.
    #[arg(long, default_value = "4s", value_parser = parse_duration)]
    pub grace: Duration,
    /// How long a child that has disconnected is named among those that lag.
    #[arg(long, default_value = "2h", value_parser = parse_duration)]
    pub forget: Duration,
    #[command(flatten)]
    pub fanout: FanoutArgs,
}

/// Arguments of `relay`.
#[derive(Args)]
pub struct RelayArgs {
    /// Where proxies and other relays connect.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The services or relays to follow: the first, and the next in turn where that one can't be reached.
    #[arg(long, value_delimiter = ',', required = true)]
    pub upstream: Vec<SocketAddr>,
    /// The relay's name, the same after a restart.
    #[arg(long)]
    pub name: String,
    /// Where operators ask how far purges and versions are below it.
    #[arg(long = "door", value_name = "DOOR")]
    pub operators: Option<SocketAddr>,
    /// Purges that arrive within this time are sent as one batch.
    #[arg(long, default_value = "100ms", value_parser = parse_duration)]
    pub batch: Duration,
    /// A child that lags for longer is not waited for before purges are reported as applied, but named. Shorter than the
    /// upstream's.
    #[arg(long, default_value = "2s", value_parser = parse_duration)]
    pub grace: Duration,
    /// How long a child that has disconnected is named among those that lag. At least the lease.
    #[arg(long, default_value = "1m", value_parser = parse_duration)]
    pub forget: Duration,
    #[command(flatten)]
    pub fanout: FanoutArgs,
}

/// Arguments that a root and a relay have in common.
#[derive(Args)]
pub struct FanoutArgs {
    /// How many purges the log retains at least, of eight bytes of memory each. A child that lacks older ones is flushed.
    #[arg(long, default_value_t = 1 << 20)]
    pub log_entries: usize,
    /// How long a member may claim to be fresh after a heartbeat.
    #[arg(long, default_value = "5s", value_parser = parse_duration)]
    pub lease: Duration,
    /// Flushes of children are spread over this time.
    #[arg(long, default_value = "10s", value_parser = parse_duration)]
    pub spread: Duration,
    /// A child that acknowledges none of its purges for so long is disconnected.
    #[arg(long, default_value = "10s", value_parser = parse_duration)]
    pub stuck: Duration,
}

impl FanoutArgs {
    /// The settings of a relay, with the times that a root and a relay have different defaults for.
    pub fn settings(
        &self,
        batch: Duration,
        grace: Duration,
        forget: Duration,
    ) -> Result<Settings, CommandError> {
        if forget < self.lease {
            return Err(CommandError::ForgetShorterThanLease);
        }
        if self.log_entries == 0 {
            return Err(CommandError::NoLogEntries);
        }
        let nanos = |duration: Duration| u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Ok(Settings {
            batch: nanos(batch),
            grace: nanos(grace),
            departed_retention: nanos(forget),
            lease: nanos(self.lease),
            flush_spread: nanos(self.spread),
            ack_timeout: nanos(self.stuck),
            ..Settings::default()
        })
    }
}
