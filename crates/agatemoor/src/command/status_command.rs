use std::time::Duration;

use argh::FromArgs;
use base::RevisionNumber;
use node::StatusPage;
use tokio::time::sleep;

use super::exit_code::{EXIT_DONE, EXIT_FAILED};
use super::stop_signal;
use crate::operator::{NodeList, OpsClient};
use crate::status::FleetSummary;

/// Pause between two looks with `--watch`.
const WATCH_PAUSE: Duration = Duration::from_secs(1);

/// Tell whether the fleet has converged, and what blocks it.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "One node of each failure domain is enough:\n  $ agatemoor status --node 127.0.0.1:8081,127.0.0.1:8181\nWait until a declaration published after revision 1.2 is in effect everywhere:\n  $ agatemoor status --node 127.0.0.1:8081,127.0.0.1:8181 --after 1.2 --watch",
    note = "Exit codes: 0 converged, 1 not converged or a node does not answer, 2 wrong usage."
)]
pub struct StatusCommand {
    /// operator addresses of nodes, separated by commas
    #[argh(option)]
    node: NodeList,

    /// repeat every second until converged or Ctrl-C
    #[argh(switch)]
    watch: bool,

    /// revision that was in effect before, such as 1.2; only a newer one counts as converged
    #[argh(option)]
    after: Option<RevisionNumber>,

    /// print JSON, one object for each look
    #[argh(switch)]
    json: bool,
}

impl StatusCommand {
    /// Reads and prints the status.
    pub async fn run(self) -> u8 {
        if !self.watch {
            return self.look(&OpsClient::new()).await;
        }
        tokio::select! {
            code = self.watch_until_converged() => code,
            () = stop_signal() => EXIT_FAILED,
        }
    }

    async fn watch_until_converged(&self) -> u8 {
        let client = OpsClient::new();
        loop {
            if self.look(&client).await == EXIT_DONE {
                return EXIT_DONE;
            }
            sleep(WATCH_PAUSE).await;
        }
    }

    async fn look(&self, client: &OpsClient) -> u8 {
        let answers = client.read_all::<StatusPage>(&self.node, "/ops/status");
        let mut summary = FleetSummary::new(answers.await);
        if let Some(revision) = self.after {
            summary.require_after(revision);
        }
        match self.json {
            true => println!("{}", serde_json::json!(summary)),
            false => print!("{summary}"),
        }
        match summary.converged {
            true => EXIT_DONE,
            false => EXIT_FAILED,
        }
    }
}
