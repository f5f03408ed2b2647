use std::time::Duration;

use argh::FromArgs;
use node::MetricsExport;
use tokio::time::timeout;

use super::demo_steps::run_steps;
use super::{DemoCaller, DemoFleet};
use crate::command::{EXIT_DONE, EXIT_FAILED, stop_signal};

/// The demo ends within this time in any case.
const DEMO_LIMIT: Duration = Duration::from_secs(29);

/// Run the whole system in one process and check its promises.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "demo",
    example = "Check everything within 30 seconds:\n  $ agatemoor demo\nServe until Ctrl-C:\n  $ agatemoor demo --serve"
)]
pub struct DemoCommand {
    /// keep running until Ctrl-C and print the address and key for callers
    #[argh(switch)]
    serve: bool,
}

impl DemoCommand {
    /// Runs the demo.
    pub async fn run(self) -> u8 {
        MetricsExport::shared();
        let fleet = match DemoFleet::start().await {
            Ok(fleet) => fleet,
            Err(error) => {
                eprintln!("{error}");
                return EXIT_FAILED;
            }
        };
        if self.serve {
            return serve(fleet).await;
        }
        let caller = DemoCaller::new(fleet.key());
        let Ok(report) = timeout(DEMO_LIMIT, run_steps(fleet, caller)).await else {
            eprintln!("the demo did not end in time");
            return EXIT_FAILED;
        };
        println!("{report}");
        match report.all_held() {
            true => EXIT_DONE,
            false => EXIT_FAILED,
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
    EXIT_DONE
}
