//! `rainlugd`: the real dispatcher. It takes tasks from clients over HTTP and pushes them to workers; every decision
//! is [`rainlug::logic`]'s. The modules go by layer, each using those before it: `transport`, `protocol`, `routing`
//! and `program`, whose clock and log all of them use.

#[macro_use]
mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    program::main()
}
