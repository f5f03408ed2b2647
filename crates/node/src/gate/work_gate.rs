use std::sync::Arc;

use tokio::sync::watch;

#[derive(Clone, Copy, Debug, Default)]
struct GateState {
    closed: bool,
    running: usize,
}

/// Counts the work in flight and lets no more in once it is closed; clones share it.
///
/// ```
/// let gate = node::WorkGate::new();
/// let permit = gate.enter().unwrap();
/// gate.close();
/// assert!(gate.enter().is_none());
/// assert_eq!(gate.running(), 1);
/// drop(permit);
/// assert_eq!(gate.running(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkGate {
    state: Arc<watch::Sender<GateState>>,
}

/// Stands for one piece of work until it is dropped.
#[derive(Debug)]
pub struct WorkPermit {
    gate: WorkGate,
}

impl WorkGate {
    /// Creates an open gate.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets a piece of work in; `None` once the gate is closed.
    pub fn enter(&self) -> Option<WorkPermit> {
        let mut entered = false;
        self.state.send_if_modified(|state| {
            entered = !state.closed;
            state.running += usize::from(entered);
            entered
        });
        entered.then(|| WorkPermit { gate: self.clone() })
    }

    /// Lets no more work in.
    pub fn close(&self) {
        self.state.send_modify(|state| state.closed = true);
    }

    /// Tells whether the gate was closed.
    pub fn is_closed(&self) -> bool {
        self.state.borrow().closed
    }

    /// Work in flight.
    pub fn running(&self) -> usize {
        self.state.borrow().running
    }

    /// Waits until no work is in flight.
    pub async fn drained(&self) {
        let mut receiver = self.state.subscribe();
        // The sender lives as long as `self`.
        let _ = receiver.wait_for(|state| state.running == 0).await;
    }
}

impl Drop for WorkPermit {
    fn drop(&mut self) {
        self.gate.state.send_modify(|state| state.running -= 1);
    }
}
