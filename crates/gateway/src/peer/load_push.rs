use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::PeerExchange;
use crate::GatewayCore;

/// Time from one push to the next; a third of the time between two placements in a domain of
/// 18 nodes and 16 generations a second.
const PUSH_GAP: Duration = Duration::from_millis(20);

/// Tells the peers of the own failure domain at once when the load of this node on engines changes.
///
/// Nodes that choose engines by loads of a quarter of a second ago send their prompts to the same
/// ones.
pub struct LoadPush {
    core: Arc<GatewayCore>,
    exchange: PeerExchange,
    sending: JoinSet<SocketAddr>,
    /// Peers that have not answered the last push yet.
    busy: Vec<SocketAddr>,
    /// Busy peers that have to be told more.
    missed: Vec<SocketAddr>,
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
        }
    }

    /// Pushes until the process ends.
    pub async fn run(mut self) {
        let mut changes = self.core.watch_loads();
        loop {
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.push_all();
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

    fn push_all(&mut self) {
        for address in self.exchange.near_peers() {
            self.push(address);
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
