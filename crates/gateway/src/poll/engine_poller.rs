use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, IncarnationNumber, TargetName};
use tokio::time::interval;

use crate::GatewayCore;
use crate::rate::acquire_permit;

/// Interval of the polls: short, because engines announce that they leave only a short time ahead,
/// and not shorter, because every request costs.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Asks the engines that run generations of this node whether they are leaving, while neither the
/// store nor a peer keeps this node informed of targets.
pub struct EnginePoller {
    core: Arc<GatewayCore>,
}

impl EnginePoller {
    /// Creates the poller of a node.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self { core }
    }

    /// Polls until the process ends.
    pub async fn run(self) {
        let mut polls = interval(POLL_INTERVAL);
        loop {
            polls.tick().await;
            for (target, incarnation, address) in self.engines_to_poll() {
                let core = self.core.clone();
                tokio::spawn(async move {
                    let permit = acquire_permit(&core, &target, incarnation).await;
                    let may_poll = core.with_state(|state, _| state.may_poll(&target, incarnation));
                    if permit.is_err() || !may_poll {
                        return;
                    }
                    match core.ports.engines.fetch_report(address).await {
                        Ok(report) if report.is_leaving => {
                            core.mark_target_leaving(&target, incarnation, "report");
                        }
                        Ok(_) => {}
                        Err(reason) => log::debug!(
                            event = EventKind::TargetDown.number(),
                            node = core.node().as_str(),
                            target = target.as_str();
                            "engine did not report its state: {reason}"
                        ),
                    }
                });
            }
        }
    }

    /// Engines with generations of this node that accept work; none while this node is informed.
    fn engines_to_poll(&self) -> Vec<(TargetName, IncarnationNumber, SocketAddr)> {
        self.core.with_state(|state, now| {
            if !state.lacks_target_updates(now) {
                return Vec::new();
            }
            let targets = state.balancer.targets().iter();
            let busy = targets.filter(|one| one.own_load.tokens > 0 && one.accepts(now));
            let busy = busy.map(|one| &one.record);
            busy.map(|record| (record.name.clone(), record.incarnation, record.address))
                .collect()
        })
    }
}
