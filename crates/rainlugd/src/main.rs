//! `rainlugd`: the real dispatcher. It takes tasks from clients over HTTP and pushes them to workers; every decision
//! is [`rainlug::logic`]'s. The modules go by layer, each using those before it: `base`, `transport`, `protocol`, `routing`
//! and `program`.

#[macro_use]
mod base;
mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    program::main()
}
