//! Runs one case: `review-standins CASE FOLDER TEMPORARY-FOLDER`, from the root of the repository. Exits with 1
//! if the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod http;
mod late_copy;
mod named_id;
mod proxy;
mod record;
mod restart_upload;
mod site;
mod stalled_bodies;
mod stalled_upload;

use record::Record;
use std::process::ExitCode;
use std::sync::Arc;

/// What a case needs.
pub struct Run {
    pub record: Arc<Record>,
    /// A temporary folder.
    pub temporary: String,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = Run { record: Arc::new(record), temporary: temporary.clone(), trouble };
    run.record.line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let held = match case.as_str() {
        "late-copy" => late_copy::run(&run),
        "named-id" => named_id::run(&run),
        // Beside the cases (REPORT.md).
        "restart-upload" => restart_upload::run(&run),
        "stalled-bodies" => stalled_bodies::run(&run),
        "stalled-upload" => stalled_upload::run(&run),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (text, code) = match held {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(e) => (format!("the case could not run: {e}"), 2),
    };
    run.record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
