use std::env;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use log::LevelFilter;

use super::async_runtime::{run_async, run_on_one_thread};
use super::check_command::CheckCommand;
use super::exit_code::{EXIT_DONE, EXIT_USAGE};
use super::gateway_command::GatewayCommand;
use super::load_command::LoadCommand;
use super::node_command::NodeCommand;
use super::standin_command::StandInCommand;
use super::status_command::StatusCommand;
use super::timeline_command::TimelineCommand;
use crate::demo::DemoCommand;
use crate::logging::{LogFormat, start_bounded_logging, start_logging};

/// Serves text generations of unknown length on crowded engines.
#[derive(FromArgs)]
#[argh(
    example = "Show the whole system in one process:\n  $ {command_name} demo\nHelp on one command:\n  $ {command_name} status --help",
    error_code(0, "done"),
    error_code(1, "the work failed"),
    error_code(2, "wrong usage or settings")
)]
pub struct MainCommand {
    /// form of the log lines: text or json
    #[argh(option, default = "LogFormat::Text")]
    log_format: LogFormat,

    /// least level of the log lines: off, error, warn, info, debug or trace
    #[argh(option)]
    log_level: Option<LevelFilter>,

    #[argh(subcommand)]
    sub: SubCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SubCommand {
    Node(NodeCommand),
    Gateway(GatewayCommand),
    Check(CheckCommand),
    Status(StatusCommand),
    Timeline(TimelineCommand),
    Load(Box<LoadCommand>),
    Demo(DemoCommand),
    StandIn(StandInCommand),
}

impl MainCommand {
    /// Reads the command line; help is printed and ends the process with 0, a mistake with 2.
    pub fn parse() -> Result<Self, ExitCode> {
        let args: Vec<String> = env::args().collect();
        let name = args.first().map_or("agatemoor", |path| {
            path.rsplit('/').next().unwrap_or("agatemoor")
        });
        let rest: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
        Self::from_args(&[name], &rest).map_err(|exit| show_exit(&exit))
    }

    /// Runs the command.
    pub fn run(self) -> ExitCode {
        // The demo prints a report of its own, which events would only interrupt.
        let quiet = matches!(self.sub, SubCommand::Demo(_));
        let default = match quiet {
            true => LevelFilter::Error,
            false => LevelFilter::Info,
        };
        let level = self.log_level.unwrap_or(default);
        match self.sub {
            SubCommand::Gateway(_) => start_bounded_logging(level),
            _ => start_logging(self.log_format, level),
        }
        let code = match self.sub {
            SubCommand::Node(command) => run_async(command.run()),
            SubCommand::Gateway(command) => run_on_one_thread(command.run()),
            SubCommand::Check(command) => command.run(),
            SubCommand::Status(command) => run_async(command.run()),
            SubCommand::Timeline(command) => run_async(command.run()),
            SubCommand::Load(command) => command.run(),
            SubCommand::Demo(command) => run_async(command.run()),
            SubCommand::StandIn(command) => run_async(command.run()),
        };
        ExitCode::from(code)
    }
}

fn show_exit(exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::from(EXIT_DONE)
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    }
}
