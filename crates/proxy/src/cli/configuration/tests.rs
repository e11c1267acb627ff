use super::*;

fn file(folder: &tempfile::TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn files_are_checked_each_by_itself_and_all_faults_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let good = file(&folder, "good.toml", "[log]\nlevel = \"warn\"\n");
    let bad = file(&folder, "bad.toml", "[log]\nlevle = \"warn\"\nburst = 0\n");
    assert!(check(std::slice::from_ref(&good)).expect("sound").contains("sound, digest"));
    let none = folder.path().join("none.toml");
    let faults = check(&[bad, good, none]).expect_err("three");
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(faults[0].contains("bad.toml:2:1: log.levle") && faults[2].contains("none.toml"), "{faults:?}");
}

#[test]
fn what_is_in_force_is_shown_with_its_layer() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = file(&folder, "f.toml", "[log]\nlevel = \"warn\"\n");
    let resolved = alone(&path).expect("sound");
    let text = show(&resolved, Shape::Text).expect("printed");
    assert!(text.contains("log.level = \"warn\"  # ") && text.contains("f.toml:2:1"), "{text}");
    assert!(show(&resolved, Shape::Json).expect("printed").contains("\"level\": \"warn\""));
}

#[test]
fn two_files_are_compared() {
    let folder = tempfile::tempdir().expect("a folder");
    let before = file(&folder, "a.toml", "");
    let after = file(&folder, "b.toml", "log.level = \"off\"");
    let told = run(&Command::Diff { before: before.clone(), after }).expect("compared");
    assert_eq!(told, "log.level: \"info\" -> \"off\" (reload)\n");
    let broken = file(&folder, "c.toml", "log = 1");
    assert!(run(&Command::Diff { before, after: broken }).is_err());
}
