use std::env;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use log::LevelFilter;

use super::async_runtime::{run_multi_threaded, run_single_threaded};
use super::check_command::CheckCommand;
use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE};
use super::exit_deadline::ExitDeadline;
use super::gateway_command::GatewayCommand;
use super::load_command::LoadCommand;
use super::node_command::NodeCommand;
use super::standin_command::StandInCommand;
use super::status_command::StatusCommand;
use super::timeline_command::TimelineCommand;
use crate::demo::DemoCommand;
use crate::logging::{LogFormat, start_bounded_logging, start_logging};

/// Entry nodes that route requests to model engines and plain services.
#[derive(FromArgs)]
#[argh(
    example = "Show the whole system in one process:\n  $ {command_name} demo\nHelp on one command:\n  $ {command_name} status --help",
    error_code(0, "done"),
    error_code(1, "the command failed"),
    error_code(2, "invalid arguments or settings")
)]
pub struct MainCommand {
    /// format of the log lines: text or json
    #[argh(option, default = "LogFormat::Text")]
    log_format: LogFormat,

    /// minimum level of the log lines: off, error, warn, info, debug or trace
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
    /// Parses the command line.
    ///
    /// # Errors
    /// After printing the help text, with exit code 0; after printing a usage error, with 2.
    pub fn parse() -> Result<Self, ExitCode> {
        let args: Vec<String> = env::args().collect();
        let name = args.first().map_or("agatemoor", |path| {
            path.rsplit('/').next().unwrap_or("agatemoor")
        });
        let rest: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
        Self::from_args(&[name], &rest).map_err(|exit| print_early_exit(&exit))
    }

    /// Sets up logging and runs the subcommand.
    pub fn run(self) -> ExitCode {
        // Log lines would interrupt the report that the demo prints.
        let is_demo = matches!(self.sub, SubCommand::Demo(_));
        let default = match is_demo {
            true => LevelFilter::Error,
            false => LevelFilter::Info,
        };
        let level = self.log_level.unwrap_or(default);
        if !matches!(self.sub, SubCommand::Gateway(_)) {
            start_logging(self.log_format, level);
        }
        let code = match self.sub {
            SubCommand::Node(command) => run_multi_threaded(command.run()),
            SubCommand::Gateway(command) => run_gateway(command, level),
            SubCommand::Check(command) => command.run(),
            SubCommand::Status(command) => run_multi_threaded(command.run()),
            SubCommand::Timeline(command) => run_multi_threaded(command.run()),
            SubCommand::Load(command) => command.run(),
            SubCommand::Demo(command) => run_multi_threaded(command.run()),
            SubCommand::StandIn(command) => run_multi_threaded(command.run()),
        };
        ExitCode::from(code)
    }
}

/// Runs a gateway with the threads that write its log and that end it in time.
fn run_gateway(command: GatewayCommand, level: LevelFilter) -> u8 {
    let threads = start_bounded_logging(level)
        .and_then(|writer| Ok((ExitDeadline::start(writer.clone())?, writer)));
    match threads {
        Ok((deadline, writer)) => {
            let code = run_single_threaded(command.run(deadline));
            writer.flush();
            code
        }
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            EXIT_FAILURE
        }
    }
}

fn print_early_exit(exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::from(EXIT_SUCCESS)
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    }
}
