//! Entry point of the `agatemoor` binary.

use std::process::ExitCode;

use agatemoor::MainCommand;

fn main() -> ExitCode {
    match MainCommand::parse() {
        Ok(command) => command.run(),
        Err(code) => code,
    }
}
