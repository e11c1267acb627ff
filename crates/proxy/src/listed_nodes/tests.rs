use super::*;
use crate::peers::Peers;

/// Guards against a node that a process takes for one that was never listed, since it was listed before its start.
#[test]
fn a_node_is_known_to_later_processes_and_others_are_not() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = Some(folder.path().to_path_buf());
    for generation in 0..6 {
        let peers = Peers::join(dir.clone());
        let nodes = ListedNodes::open(IdFiles::open(peers.slot()));
        for earlier in 0..generation {
            assert!(nodes.contains(&format!("node-{earlier}")), "{generation}");
        }
        assert!(!nodes.contains(&format!("node-{generation}")));
        nodes.record_id(&format!("node-{generation}"));
    }
}
