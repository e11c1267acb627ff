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
    /// Run a control service, which publishes versions to proxies and accepts operators' requests.
    Serve(ServeArgs),
    /// Run a relay, which follows a service or another relay and forwards versions and purges to its
    /// children.
    Relay(RelayArgs),
    /// Purge objects from all caches. A retry with the same publisher and sequence is not added to the log
    /// again.
    Purge {
        #[command(flatten)]
        operators: OperatorsAddr,
        /// The publisher's name.
        #[arg(long)]
        publisher: String,
        /// The publisher's number of this request, which increases with each new request. Serves as
        /// idempotency key.
        #[arg(long)]
        sequence: u64,
        /// The keys of the objects.
        #[arg(required = true)]
        keys: Vec<String>,
    },
    /// Print the progress of purges as JSON.
    Purges {
        #[command(flatten)]
        operators: OperatorsAddr,
    },
    /// Publish a configuration file as the newest version.
    Publish {
        #[command(flatten)]
        operators: OperatorsAddr,
        /// The configuration file, in TOML.
        file: PathBuf,
        /// The rollout plan, a TOML file. Without it every proxy gets the version at once.
        #[arg(long)]
        plan: Option<PathBuf>,
    },
    /// Publish the body of an earlier version as the newest version.
    RollBack {
        #[command(flatten)]
        operators: OperatorsAddr,
        /// The epoch of the earlier version.
        epoch: u64,
        /// The number of the earlier version within its epoch.
        number: u64,
    },
    /// Halt the rollout of the newest version.
    Halt {
        #[command(flatten)]
        operators: OperatorsAddr,
        /// The reason, which `status` prints.
        #[arg(value_name = "WHY")]
        reason: String,
    },
    /// Print the newest version, its rollout and the version that each connected proxy runs, as JSON.
    Status {
        #[command(flatten)]
        operators: OperatorsAddr,
    },
    /// Measure the time from the publication of a version until it is in force, with emulated proxies on
    /// loopback.
    Measure(Measure),
}

/// The option for a service's operator address.
#[derive(Args)]
pub struct OperatorsAddr {
    /// The address at which the service accepts operators' requests.
    #[arg(long = "door", value_name = "DOOR")]
    pub addr: SocketAddr,
}

/// Arguments of `serve`.
#[derive(Args)]
pub struct ServeArgs {
    /// The address at which to accept proxies.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The address at which to accept operators' requests.
    #[arg(long = "door", value_name = "DOOR")]
    pub operators: SocketAddr,
    /// The directory that stores the newest version, the epoch and the purge log across restarts.
    #[arg(long = "dir", value_name = "DIR")]
    pub dir: PathBuf,
    /// Accept purges, store them in the purge log and distribute them.
    #[arg(long)]
    pub purges: bool,
    /// Purges that arrive within this time are stored and sent as one batch.
    #[arg(long, default_value = "20ms", value_parser = parse_duration)]
    pub batch: Duration,
    /// How long purges wait for a child that lags. After that they count as applied without it, and the child
    /// is listed as lagging.
    #[arg(long, default_value = "4s", value_parser = parse_duration)]
    pub grace: Duration,
    /// How long a disconnected child is listed as lagging.
    #[arg(long, default_value = "2h", value_parser = parse_duration)]
    pub forget: Duration,
    #[command(flatten)]
    pub fanout: FanoutArgs,
}

/// Arguments of `relay`.
#[derive(Args)]
pub struct RelayArgs {
    /// The address at which to accept proxies and other relays.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The services or relays to follow, tried in turn: one that can't be reached is followed by the next.
    #[arg(long, value_delimiter = ',', required = true)]
    pub upstream: Vec<SocketAddr>,
    /// The relay's name, which has to stay the same across restarts.
    #[arg(long)]
    pub name: String,
    /// The address at which to accept operators' requests for the progress of purges and versions downstream.
    #[arg(long = "door", value_name = "DOOR")]
    pub operators: Option<SocketAddr>,
    /// Purges that arrive within this time are sent as one batch.
    #[arg(long, default_value = "100ms", value_parser = parse_duration)]
    pub batch: Duration,
    /// How long purges wait for a child that lags. After that they are reported as applied without it, and
    /// the child is listed as lagging. Has to be shorter than the upstream's.
    #[arg(long, default_value = "2s", value_parser = parse_duration)]
    pub grace: Duration,
    /// How long a disconnected child is listed as lagging. Must not be shorter than the lease.
    #[arg(long, default_value = "1m", value_parser = parse_duration)]
    pub forget: Duration,
    #[command(flatten)]
    pub fanout: FanoutArgs,
}

/// Arguments for the distribution of purges that `serve` and `relay` share.
#[derive(Args)]
pub struct FanoutArgs {
    /// The minimum number of purges that the log retains, at 8 bytes of memory each. A child that is missing
    /// older ones is flushed.
    #[arg(long, default_value_t = 1 << 20)]
    pub log_entries: usize,
    /// How long a member may consider its cache up to date after a heartbeat.
    #[arg(long, default_value = "5s", value_parser = parse_duration)]
    pub lease: Duration,
    /// The time over which flushes of children are spread.
    #[arg(long, default_value = "10s", value_parser = parse_duration)]
    pub spread: Duration,
    /// A child that acknowledges none of its purges for this long is disconnected.
    #[arg(long, default_value = "10s", value_parser = parse_duration)]
    pub stuck: Duration,
}

impl FanoutArgs {
    /// Combines these arguments with those whose defaults differ between a root and a relay.
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
