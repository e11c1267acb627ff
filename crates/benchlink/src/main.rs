//! Runs the simulator's text protocol on standard input and output.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use aniseyoke_benchlink::adapter;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match adapter::run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("aniseyoke-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
