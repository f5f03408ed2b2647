use std::fs;

use argh::FromArgs;
use node::{MetricsExport, NodeServer};
use tokio::signal::unix::{SignalKind, signal};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE};
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
        let settings = match read_settings(&self.file) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        MetricsExport::shared();
        let server = match NodeServer::bind(settings).await {
            Ok(server) => server,
            Err(error) => {
                eprintln!("{error}");
                return EXIT_FAILURE;
            }
        };
        let handle = match server.start(Box::new(make_policy)) {
            Ok(handle) => handle,
            Err(error) => {
                eprintln!("{error}");
                return EXIT_USAGE;
            }
        };
        tokio::select! {
            () = stop_signal() => {}
            () = handle.superseded() => {}
        }
        handle.stop().await;
        EXIT_SUCCESS
    }
}

fn read_settings(file: &str) -> Result<schema::settings::NodeSettings, u8> {
    let text = fs::read_to_string(file).map_err(|error| {
        eprintln!("{file}: {error}");
        EXIT_USAGE
    })?;
    schema::read_settings(file, &text).map_err(|mistakes| {
        for mistake in mistakes {
            eprintln!("{mistake}");
        }
        EXIT_USAGE
    })
}

/// Waits for SIGTERM or SIGINT; never returns if the signal handlers cannot be installed.
pub async fn stop_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    let Ok(mut interrupt) = signal(SignalKind::interrupt()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
