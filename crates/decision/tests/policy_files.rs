//! Checks on the source files of the decision module that ports to other languages rely on.

use std::fs;
use std::path::{Path, PathBuf};

/// The deployment file, relative to the repository root, that lists the source files of the decision module.
const DEPLOYMENT: &str = "deploy/balancer.toml";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("a root above crates").to_owned()
}

/// The source files listed in the deployment file, with their text.
fn policy() -> Vec<(PathBuf, String)> {
    let text = fs::read_to_string(root().join(DEPLOYMENT)).expect(DEPLOYMENT);
    let row = text.split("policy = [").nth(1).and_then(|t| t.split(']').next()).expect("a list under policy");
    let names = row.split(',').map(|name| name.trim().trim_matches('"')).filter(|name| !name.is_empty());
    names.map(|name| (name.into(), fs::read_to_string(root().join(name)).expect(name))).collect()
}

#[test]
fn every_source_file_of_the_decision_module_is_listed_in_the_deployment_file() {
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
fn the_first_lines_of_the_module_name_the_interface_file() {
    assert!(include_str!("../src/logic.rs").lines().take(3).any(|l| l.contains("src/api.rs")));
}
