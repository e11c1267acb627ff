//! Detects that a process listens without reading its log.

use std::collections::HashSet;
use std::fs;

/// The state of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";
/// The fields of a line of `/proc/net/tcp` that contain the state and the inode.
const STATE_FIELD: usize = 3;
const INODE_FIELD: usize = 9;

/// Whether the process has a listening TCP socket.
pub(crate) fn listens(pid: u32) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let target = |entry: fs::DirEntry| fs::read_link(entry.path()).ok()?.to_str().map(str::to_owned);
    let inode = |text: String| text.strip_prefix("socket:[")?.strip_suffix(']').map(str::to_owned);
    let sockets: HashSet<String> = descriptors.filter_map(|entry| inode(target(entry.ok()?)?)).collect();
    let table = fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode = fields.get(INODE_FIELD).copied().unwrap_or_default();
        fields.get(STATE_FIELD) == Some(&LISTENING) && sockets.contains(inode)
    })
}
