//! The proxy's executable; the command line is defined in `cli`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    aniseyoke::cli::run()
}
