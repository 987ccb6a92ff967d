//! `rainlug-benchlink` hosts dispatchers for the simulator: it reads its batches of events on standard input, hands
//! each to the instance concerned, and writes their decisions to standard output.

mod fields;
mod host;

use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match host::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "rainlug-benchlink: {error:#}");
            ExitCode::FAILURE
        }
    }
}
