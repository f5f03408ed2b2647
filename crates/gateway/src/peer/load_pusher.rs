use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::DomainName;
use entry::SampleBudget;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::PeerClient;
use crate::GatewayCore;

/// Pause after each push of changes; a third of the time between two placements in a domain that
/// places 16 generations per second.
const PUSH_PAUSE: Duration = Duration::from_millis(20);

/// The same pause while calls to plain services are placed by slots, which are free within some 10 ms.
const SLOT_PUSH_PAUSE: Duration = Duration::from_millis(4);

/// Interval at which unchanged loads are sent again to peers of other failure domains, which drop
/// reports older than 2.5 s.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the gaps between the events of relayed streams are closed as samples, and sent
/// to coordinators that no other report reaches.
const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// Sends load reports when the load of this node on engines changes, without waiting for the next
/// gossip round: to the coordinators of its own failure domain and to those of the domains whose
/// engines it uses.
///
/// With loads that are a quarter of a second old, a coordinator would place successive prompts on
/// the same engines. When the moves of generations change, the report goes to all nodes of the
/// failure domain.
pub struct LoadPusher {
    core: Arc<GatewayCore>,
    client: PeerClient,
    sending: JoinSet<SocketAddr>,
    /// Peers that have not answered the last report yet.
    busy: Vec<SocketAddr>,
    /// Busy peers that need another report after their response.
    pending: Vec<SocketAddr>,
    /// Other failure domains to which the last report went.
    reported: Vec<DomainName>,
}

impl LoadPusher {
    /// Creates the pusher of a node.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self {
            client: PeerClient::new(core.clone()),
            core,
            sending: JoinSet::new(),
            busy: Vec::new(),
            pending: Vec::new(),
            reported: Vec::new(),
        }
    }

    /// Pushes until the process ends.
    pub async fn run(mut self) {
        let mut changes = self.core.watch_load_report();
        let mut moves = 0;
        let mut repeats = interval(REPEAT_INTERVAL);
        repeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut paces = interval(PACE_INTERVAL);
        paces.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = paces.tick() => self.push_paces(),
                _ = repeats.tick() => self.push_remote(),
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let mark = *changes.borrow_and_update();
                    self.push_changed(mark.moves != moves);
                    moves = mark.moves;
                    sleep(self.push_pause()).await;
                }
                Some(done) = self.sending.join_next() => {
                    if let Ok(address) = done {
                        self.on_done(address);
                    }
                }
            }
        }
    }

    /// Pause after a push.
    fn push_pause(&self) -> Duration {
        let is_strict = self
            .core
            .with_state(|state, now| state.balancer.has_refusal_limits(now));
        match is_strict {
            true => SLOT_PUSH_PAUSE,
            false => PUSH_PAUSE,
        }
    }

    /// Sends changed loads; `moves_changed` tells whether the moves of generations changed too.
    fn push_changed(&mut self, moves_changed: bool) {
        let addresses = match moves_changed {
            true => self.client.local_peers(),
            false => self.client.own_coordinators(),
        };
        for address in addresses {
            self.push(address);
        }
        self.push_remote();
    }

    /// Closes the samples of gaps between events and sends them to the coordinators of the own
    /// failure domain; those of others get them with the loads.
    fn push_paces(&mut self) {
        let coordinators = self.client.own_coordinators();
        let lacking = self.core.with_state(|state, now| {
            state.close_gap_samples(now);
            let mut lacking = coordinators;
            lacking.retain(|address| state.gaps.has_news(now, *address, SampleBudget::OWN_DOMAIN));
            lacking
        });
        for address in lacking {
            self.push(address);
        }
    }

    /// Sends loads to the coordinators of the failure domains whose engines this node uses, and
    /// once more to those of the domains whose engines it no longer uses.
    fn push_remote(&mut self) {
        let used = self
            .core
            .with_state(|state, _| state.balancer.remote_domains());
        let mut domains = std::mem::replace(&mut self.reported, used.clone());
        domains.extend(used);
        domains.sort();
        domains.dedup();
        for domain in domains {
            for address in self.client.coordinators_of(&domain) {
                self.push(address);
            }
        }
    }

    /// Sends a load report to a peer, or marks it as pending while the last one is unanswered.
    fn push(&mut self, address: SocketAddr) {
        if self.busy.contains(&address) {
            if !self.pending.contains(&address) {
                self.pending.push(address);
            }
            return;
        }
        self.busy.push(address);
        let client = self.client.clone();
        self.sending.spawn(async move {
            client.send_loads(address).await;
            address
        });
    }

    /// Handles the end of a request, whether it was answered or not.
    fn on_done(&mut self, address: SocketAddr) {
        self.busy.retain(|known| *known != address);
        if self.pending.contains(&address) {
            self.pending.retain(|known| *known != address);
            self.push(address);
        }
    }
}
