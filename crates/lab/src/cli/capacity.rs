//! `capacity`: generates or checks the capacity page.

use super::error::CliError;
use aniseyoke_lab_capacity::{differs, page};
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
        let differs = differs(&args.docs)?;
        if let Some(line) = &differs {
            println!("{line}");
        }
        return Ok(differs.is_none());
    }
    let (text, file) = (page(&args.docs)?, args.docs.join("CAPACITY.md"));
    std::fs::write(&file, text).map_err(FileError::at(&file))?;
    Ok(true)
}
