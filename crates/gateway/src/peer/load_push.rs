use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::DomainName;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::PeerExchange;
use crate::GatewayCore;

/// Time from one push to the next; a third of the time between two placements in a domain of
/// 16 generations a second.
const PUSH_GAP: Duration = Duration::from_millis(20);

/// Time after which peers of other domains are told again what has not changed; they drop what they
/// have not heard for 2.5 s.
const REPEAT_GAP: Duration = Duration::from_secs(1);

/// Tells peers at once when the load of this node on engines changes: the desks of its own failure
/// domain, and those of the domains whose engines it uses.
///
/// A desk that chooses engines by loads of a quarter of a second ago sends prompts to the same ones.
/// Which generations are being moved is told to all nodes of the failure domain.
pub struct LoadPush {
    core: Arc<GatewayCore>,
    exchange: PeerExchange,
    sending: JoinSet<SocketAddr>,
    /// Peers that have not answered the last push yet.
    busy: Vec<SocketAddr>,
    /// Busy peers that have to be told more.
    missed: Vec<SocketAddr>,
    /// Other domains that were told of load on their engines.
    told: Vec<DomainName>,
}

impl LoadPush {
    /// Creates the pushes of a node.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self {
            exchange: PeerExchange::new(core.clone()),
            core,
            sending: JoinSet::new(),
            busy: Vec::new(),
            missed: Vec::new(),
            told: Vec::new(),
        }
    }

    /// Pushes until the process ends.
    pub async fn run(mut self) {
        let mut changes = self.core.watch_loads();
        let mut moves = 0;
        let mut repeats = interval(REPEAT_GAP);
        repeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = repeats.tick() => self.push_far(),
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let mark = *changes.borrow_and_update();
                    self.push_near(mark.moves != moves);
                    moves = mark.moves;
                    sleep(PUSH_GAP).await;
                }
                Some(done) = self.sending.join_next() => {
                    if let Ok(address) = done {
                        self.on_done(address);
                    }
                }
            }
        }
    }

    fn push_near(&mut self, has_moves: bool) {
        let near = match has_moves {
            true => self.exchange.near_peers(),
            false => self.exchange.own_desks(),
        };
        for address in near {
            self.push(address);
        }
        self.push_far();
    }

    /// Tells the domains whose engines this node uses, and those where it has just stopped to.
    fn push_far(&mut self) {
        let used = self
            .core
            .with_state(|state, _| state.board.remote_domains());
        let mut domains = std::mem::replace(&mut self.told, used.clone());
        domains.extend(used);
        domains.sort();
        domains.dedup();
        for domain in domains {
            for address in self.exchange.desks_of(&domain) {
                self.push(address);
            }
        }
    }

    fn push(&mut self, address: SocketAddr) {
        if self.busy.contains(&address) {
            if !self.missed.contains(&address) {
                self.missed.push(address);
            }
            return;
        }
        self.busy.push(address);
        let exchange = self.exchange.clone();
        self.sending.spawn(async move {
            exchange.tell_loads(address).await;
            address
        });
    }

    fn on_done(&mut self, address: SocketAddr) {
        self.busy.retain(|known| *known != address);
        if self.missed.contains(&address) {
            self.missed.retain(|known| *known != address);
            self.push(address);
        }
    }
}
