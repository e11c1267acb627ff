//! `capacity`: generates or checks the capacity page.

use super::error::CliError;
use aniseyoke_lab_capacity::{first_difference, render_page};
use aniseyoke_lab_day::FileError;
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub struct CapacityArgs {
    /// Folder that contains the page, CAPACITY.md, and the folder capacity/.
    #[arg(long, default_value = "docs")]
    docs: PathBuf,
    /// Only check the page; exits with 1 if it does not match slopes and runs.
    #[arg(long)]
    check: bool,
}

pub fn run(args: &CapacityArgs) -> Result<bool, CliError> {
    if args.check {
        let first_difference = first_difference(&args.docs)?;
        if let Some(line) = &first_difference {
            println!("{line}");
        }
        return Ok(first_difference.is_none());
    }
    let (text, file) = (render_page(&args.docs)?, args.docs.join("CAPACITY.md"));
    std::fs::write(&file, text).map_err(FileError::at(&file))?;
    Ok(true)
}
