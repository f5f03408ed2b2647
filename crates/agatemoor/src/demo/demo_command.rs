use std::time::Duration;

use argh::FromArgs;
use node::MetricsExport;
use tokio::time::timeout;

use super::demo_checks::run_checks;
use super::{DemoCaller, DemoFleet};
use crate::command::{EXIT_FAILURE, EXIT_SUCCESS, stop_signal};

/// Longest run time of the checks; a longer run counts as failed.
const DEMO_TIMEOUT: Duration = Duration::from_secs(29);

/// Run a complete fleet in one process and check its guarantees.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "demo",
    example = "Check everything within 30 seconds:\n  $ agatemoor demo\nServe until Ctrl-C:\n  $ agatemoor demo --serve"
)]
pub struct DemoCommand {
    /// print the address and key for callers and keep running until Ctrl-C, without the checks
    #[argh(switch)]
    serve: bool,
}

impl DemoCommand {
    /// Starts the fleet, then serves it or runs the checks.
    pub async fn run(self) -> u8 {
        MetricsExport::shared();
        let fleet = match DemoFleet::start().await {
            Ok(fleet) => fleet,
            Err(error) => {
                eprintln!("{error}");
                return EXIT_FAILURE;
            }
        };
        if self.serve {
            return serve(fleet).await;
        }
        let caller = DemoCaller::new(fleet.key());
        let Ok(report) = timeout(DEMO_TIMEOUT, run_checks(fleet, caller)).await else {
            eprintln!("the demo did not end within {} s", DEMO_TIMEOUT.as_secs());
            return EXIT_FAILURE;
        };
        println!("{report}");
        match report.all_held() {
            true => EXIT_SUCCESS,
            false => EXIT_FAILURE,
        }
    }
}

async fn serve(fleet: DemoFleet) -> u8 {
    println!("callers http://{}/v1", fleet.nodes[0].callers);
    println!("key {}", fleet.key());
    for node in &fleet.nodes {
        println!(
            "node {} callers {} operators {}",
            node.name, node.callers, node.operators
        );
    }
    stop_signal().await;
    fleet.stop().await;
    EXIT_SUCCESS
}
