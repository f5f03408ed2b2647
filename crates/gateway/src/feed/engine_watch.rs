use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, IncarnationNumber, TargetName};
use tokio::time::interval;

use crate::GatewayCore;

/// Time between two rounds of questions; notices are short, and each question is paid for.
const ROUND: Duration = Duration::from_millis(400);

/// Asks engines with own generations whether they leave while nobody else tells this node.
pub struct EngineWatch {
    core: Arc<GatewayCore>,
}

impl EngineWatch {
    /// Creates the watch of a node.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self { core }
    }

    /// Asks until the process ends.
    pub async fn run(self) {
        let mut rounds = interval(ROUND);
        loop {
            rounds.tick().await;
            for (target, incarnation, address) in self.asked() {
                let core = self.core.clone();
                tokio::spawn(async move {
                    match core.ports.engines.ask_report(address).await {
                        Ok(report) if report.is_leaving => {
                            core.take_leaving(&target, incarnation, "report");
                        }
                        Ok(_) => {}
                        Err(reason) => log::debug!(
                            event = EventKind::TargetDown.number(),
                            node = core.node().as_str(),
                            target = target.as_str();
                            "no report: {reason}"
                        ),
                    }
                });
            }
        }
    }

    fn asked(&self) -> Vec<(TargetName, IncarnationNumber, SocketAddr)> {
        self.core.with_state(|state, now| {
            if !state.is_blind(now) {
                return Vec::new();
            }
            let targets = state.board.targets().iter();
            let busy = targets.filter(|one| one.own_load.tokens > 0 && one.accepts(now));
            let busy = busy.map(|one| &one.record);
            busy.map(|record| (record.name.clone(), record.incarnation, record.address))
                .collect()
        })
    }
}
