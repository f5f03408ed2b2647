use std::fs;

use argh::FromArgs;
use node::{MetricsExport, NodeServer};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE};
use super::start_wait::{START_TIMEOUT, StartProblem, StartWait};
use super::stop_signals::StopSignals;
use crate::demo::make_policy;

/// Run an entry node until SIGTERM or SIGINT, then stop gracefully.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "node",
    example = "Check the settings, then run the node:\n  $ agatemoor check examples/kanchan/entry-thapathali-1.ini\n  $ agatemoor node examples/kanchan/entry-thapathali-1.ini"
)]
pub struct NodeCommand {
    /// settings file of the node
    #[argh(positional)]
    file: String,
}

impl NodeCommand {
    /// Starts the node and serves until it is stopped or superseded.
    pub async fn run(self) -> u8 {
        let mut signals = match StopSignals::install() {
            Ok(signals) => signals,
            Err(error) => {
                eprintln!("cannot install signal handlers: {error}");
                return EXIT_FAILURE;
            }
        };
        MetricsExport::shared();
        let wait = StartWait::new(START_TIMEOUT);
        let bound = tokio::select! {
            () = signals.received() => return EXIT_SUCCESS,
            bound = wait.run(async || bind(&self.file).await) => bound,
        };
        let server = match bound {
            Ok(server) => server,
            Err(code) => return code,
        };
        let handle = match server.start(Box::new(make_policy)) {
            Ok(handle) => handle,
            Err(error) => {
                eprintln!("{error}");
                return EXIT_USAGE;
            }
        };
        tokio::select! {
            () = signals.received() => {}
            () = handle.superseded() => {}
        }
        handle.stop().await;
        EXIT_SUCCESS
    }
}

/// Reads the settings and opens the addresses of a node.
async fn bind(file: &str) -> Result<NodeServer, StartProblem> {
    let invalid = |reason: String| StartProblem::new(reason, EXIT_USAGE).with_transient(true);
    let text = fs::read_to_string(file).map_err(|error| invalid(format!("{file}: {error}")))?;
    let settings = schema::read_settings(file, &text).map_err(|mistakes| {
        let lines: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
        invalid(lines.join("\n"))
    })?;
    let bound = NodeServer::bind(settings).await;
    bound.map_err(|error| {
        StartProblem::new(&error, EXIT_FAILURE).with_transient(error.is_transient())
    })
}
