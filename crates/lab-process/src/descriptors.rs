//! The descriptor limit of this process and its children.

/// Raises the soft limit to the hard limit, since the clients and nodes of a day may need thousands of descriptors.
pub fn raise_descriptor_limit() {
    use nix::sys::resource::{getrlimit, setrlimit, Resource};
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        if soft < hard && setrlimit(Resource::RLIMIT_NOFILE, hard, hard).is_err() {
            tracing::warn!("cannot raise the descriptor limit above {soft}");
        }
    }
}
