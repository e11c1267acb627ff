//! The limit of descriptors that this process and its children run under.

/// Raises the limit as far as the system allows: clients and nodes of a day may need thousands of descriptors.
pub fn raise_descriptor_limit() {
    use nix::sys::resource::{getrlimit, setrlimit, Resource};
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        if soft < hard && setrlimit(Resource::RLIMIT_NOFILE, hard, hard).is_err() {
            tracing::warn!("{soft} descriptors are all that this process may have");
        }
    }
}
