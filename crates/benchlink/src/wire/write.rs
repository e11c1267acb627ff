//! Serializes actions, one per line.

use aniseyoke_decision::api::{Action, ServerId};
use std::fmt::Write as _;

/// Appends one action of an instance to a reply; `name` returns the name of a server in the protocol.
pub fn write(reply: &mut String, instance: &str, action: &Action, name: impl Fn(ServerId) -> Option<String>) {
    let name = |server: &ServerId| name(*server).unwrap_or_default();
    // Writing to a string can't fail.
    let _ = match action {
        Action::Send { id, server, timeout } => {
            writeln!(reply, "deliver {instance} {id} {} {timeout}", name(server))
        }
        // Only `ResponseStarted` leads to it, and the simulator's answers arrive whole.
        Action::AwaitResponse { .. } => Ok(()),
        Action::Cancel { id, attempt } => writeln!(reply, "abandon {instance} {id} {attempt}"),
        Action::Reject { id, retry_after } => writeln!(reply, "bounce {instance} {id} {retry_after}"),
        Action::Fail { id } => writeln!(reply, "abort {instance} {id}"),
        Action::Timer { token, delay } => writeln!(reply, "arm {instance} {token} {delay}"),
        Action::CloseIdle(server) => writeln!(reply, "close {instance} {}", name(server)),
        Action::Subscribe => writeln!(reply, "stream_changes {instance} 1"),
    };
}
