use std::time::Duration;

use argh::FromArgs;
use base::RevisionNumber;
use node::StatusPage;
use tokio::time::sleep;

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS};
use super::stop_signal;
use crate::operator::{NodeAddresses, OperatorClient};
use crate::status::FleetSummary;

/// Pause between two queries with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Show whether the fleet has converged to its declaration, and what blocks it.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "One node of each failure domain is enough:\n  $ agatemoor status --node 127.0.0.1:8081,127.0.0.1:8181\nWait until a declaration published after revision 1.2 is in effect everywhere:\n  $ agatemoor status --node 127.0.0.1:8081,127.0.0.1:8181 --after 1.2 --watch",
    note = "Exit codes: 0 converged, 1 not converged or a node does not respond, 2 invalid arguments."
)]
pub struct StatusCommand {
    /// operator addresses of nodes, separated by commas
    #[argh(option)]
    node: NodeAddresses,

    /// query every second until converged or Ctrl-C
    #[argh(switch)]
    watch: bool,

    /// revision that was in effect before, such as 1.2; only a newer one counts as converged
    #[argh(option)]
    after: Option<RevisionNumber>,

    /// print JSON, one object for each query
    #[argh(switch)]
    json: bool,
}

impl StatusCommand {
    /// Queries the nodes and prints the merged status.
    pub async fn run(self) -> u8 {
        if !self.watch {
            return self.print_status(&OperatorClient::new()).await;
        }
        tokio::select! {
            code = self.watch_until_converged() => code,
            () = stop_signal() => EXIT_FAILURE,
        }
    }

    async fn watch_until_converged(&self) -> u8 {
        let client = OperatorClient::new();
        loop {
            if self.print_status(&client).await == EXIT_SUCCESS {
                return EXIT_SUCCESS;
            }
            sleep(WATCH_INTERVAL).await;
        }
    }

    async fn print_status(&self, client: &OperatorClient) -> u8 {
        let responses = client.read_all::<StatusPage>(&self.node, "/ops/status");
        let mut summary = FleetSummary::new(responses.await);
        if let Some(revision) = self.after {
            summary.require_after(revision);
        }
        match self.json {
            true => println!("{}", serde_json::json!(summary)),
            false => print!("{summary}"),
        }
        match summary.converged {
            true => EXIT_SUCCESS,
            false => EXIT_FAILURE,
        }
    }
}
