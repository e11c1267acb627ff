//! The limit of descriptors that this process and its children run under.

/// Takes as many descriptors as the system lets a process have: clients and nodes of a day may need thousands.
pub fn raise_descriptors() {
    use nix::sys::resource::{getrlimit, setrlimit, Resource};
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        if soft < hard && setrlimit(Resource::RLIMIT_NOFILE, hard, hard).is_err() {
            tracing::warn!("{soft} descriptors are all that this process may have");
        }
    }
}
