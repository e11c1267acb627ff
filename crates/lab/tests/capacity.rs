//! Checks that the capacity page matches slopes and runs, and that a page that does not match is detected.

use aniseyoke_lab_capacity::{first_difference, render_page};
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// Copies the page and the data that it is generated from.
fn copy() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    for part in ["", "capacity", "capacity/slopes", "capacity/runs"] {
        let (from, to) = (docs().join(part), folder.path().join(part));
        std::fs::create_dir_all(&to).expect("a folder");
        let Ok(entries) = std::fs::read_dir(&from) else { continue };
        for entry in entries.map(|e| e.expect("an entry")).filter(|e| e.path().is_file()) {
            std::fs::copy(entry.path(), to.join(entry.file_name())).expect("copied");
        }
    }
    folder
}

fn change(file: &Path, edit: impl FnOnce(&mut serde_json::Value)) {
    let text = std::fs::read_to_string(file).expect("a file");
    let mut value = serde_json::from_str(&text).expect("JSON");
    edit(&mut value);
    std::fs::write(file, value.to_string()).expect("written");
}

#[test]
fn the_page_matches_slopes_and_runs() {
    let first_difference = first_difference(&docs()).expect("a page");
    assert_eq!(first_difference, None, "regenerate the page with `aniseyoke-lab capacity`");
}

#[test]
fn a_figure_changed_by_hand_is_detected() {
    let copy = copy();
    let file = copy.path().join("CAPACITY.md");
    let text = std::fs::read_to_string(&file).expect("the page");
    std::fs::write(&file, text.replacen("| predicted |", "| measured |", 1)).expect("written");
    let difference = first_difference(copy.path()).expect("a page").expect("a difference");
    assert!(difference.contains("CAPACITY.md:"), "{difference}");
    std::fs::write(&file, render_page(copy.path()).expect("a page")).expect("written");
    assert_eq!(first_difference(copy.path()).expect("a page"), None);
}

#[test]
fn a_slope_whose_points_changed_is_rejected_until_it_is_fitted_again() {
    let copy = copy();
    let file = copy.path().join("capacity/slopes/proxy.memory.routes.json");
    change(&file, |slope| slope["points"][0][1] = serde_json::json!(1.0));
    assert!(
        first_difference(copy.path()).is_err_and(|error| error.to_string().contains("proxy.memory.routes"))
    );
}

#[test]
fn another_measurement_at_the_largest_size_changes_the_page() {
    let copy = copy();
    let file = copy.path().join("capacity/slopes/proxy.memory.routes.json");
    change(&file, |slope| slope["held_out"]["measured"] = serde_json::json!(77.0));
    assert!(first_difference(copy.path()).expect("a page").is_some());
}
