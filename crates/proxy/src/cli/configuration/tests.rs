use super::*;

fn file(folder: &tempfile::TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn files_are_checked_separately_and_all_errors_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let good = file(&folder, "good.toml", "[log]\nlevel = \"warn\"\n");
    let bad = file(&folder, "bad.toml", "[log]\nlevle = \"warn\"\nburst = 0\n");
    assert!(check(std::slice::from_ref(&good)).expect("sound").contains("sound, digest"));
    let missing = folder.path().join("none.toml");
    let errors = check(&[bad, good, missing]).expect_err("three");
    assert_eq!(errors.len(), 3, "{errors:?}");
    assert!(errors[0].contains("bad.toml:2:1: log.levle") && errors[2].contains("none.toml"), "{errors:?}");
}

#[test]
fn settings_in_force_are_shown_with_their_layer() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = file(&folder, "f.toml", "[log]\nlevel = \"warn\"\n");
    let resolved = resolve_file(&path).expect("sound");
    let text = show(&resolved, Shape::Text).expect("printed");
    assert!(text.contains("log.level = \"warn\"  # ") && text.contains("f.toml:2:1"), "{text}");
    assert!(show(&resolved, Shape::Json).expect("printed").contains("\"level\": \"warn\""));
}

#[test]
fn diff_prints_the_changed_keys_and_rejects_invalid_files() {
    let folder = tempfile::tempdir().expect("a folder");
    let before = file(&folder, "a.toml", "");
    let after = file(&folder, "b.toml", "log.level = \"off\"");
    let output = run(&Command::Diff { before: before.clone(), after }).expect("compared");
    assert_eq!(output, "log.level: \"info\" -> \"off\" (reload)\n");
    let broken = file(&folder, "c.toml", "log = 1");
    assert!(run(&Command::Diff { before, after: broken }).is_err());
}
