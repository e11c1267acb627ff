//! The limits on the module's text that its porters rely on.

use std::fs;
use std::path::{Path, PathBuf};

/// The file under the root of the repository that names the files with the decisions.
const NAMES: &str = "deploy/balancer.toml";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("a root above crates").to_owned()
}

/// The files that the deployment names as holding the decisions, with their text.
fn policy() -> Vec<(PathBuf, String)> {
    let text = fs::read_to_string(root().join(NAMES)).expect(NAMES);
    let row = text.split("policy = [").nth(1).and_then(|t| t.split(']').next()).expect("a list under policy");
    let names = row.split(',').map(|name| name.trim().trim_matches('"')).filter(|name| !name.is_empty());
    names.map(|name| (name.into(), fs::read_to_string(root().join(name)).expect(name))).collect()
}

#[test]
fn every_file_of_the_decisions_is_named_in_the_deployment() {
    let logic = Path::new("crates/decision/src/logic");
    let mut found = vec![logic.with_extension("rs")];
    found.extend(fs::read_dir(root().join(logic)).unwrap().map(|f| logic.join(f.unwrap().file_name())));
    found.sort();
    let mut named: Vec<PathBuf> = policy().into_iter().map(|(name, _)| name).collect();
    named.sort();
    assert_eq!(named, found);
}

#[test]
fn no_line_runs_past_110_characters() {
    let mut texts: Vec<String> = policy().into_iter().map(|(_, text)| text).collect();
    texts.push(include_str!("../src/api.rs").into());
    let long = texts.iter().flat_map(|f| f.lines()).find(|l| l.chars().count() > 110);
    assert_eq!(long, None);
}

#[test]
fn the_head_of_the_module_names_the_interface_file() {
    assert!(include_str!("../src/logic.rs").lines().take(3).any(|l| l.contains("src/api.rs")));
}
