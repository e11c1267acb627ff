//! The real proxy. What it does is told in `cli`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    aniseyoke::cli::run()
}
