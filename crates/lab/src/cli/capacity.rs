//! `capacity`: writes or checks the capacity page.

use super::error::CliError;
use aniseyoke_lab_capacity::{differs, page};
use aniseyoke_lab_day::FileError;
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub struct CapacityArgs {
    /// The folder with the page, CAPACITY.md, and with capacity/ beside it.
    #[arg(long, default_value = "docs")]
    docs: PathBuf,
    /// Change nothing; 1 is returned if the page says something else than slopes and runs.
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
