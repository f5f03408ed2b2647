use std::sync::Arc;

use tokio::sync::watch;

/// Whether the gate is closed, and how many permits exist.
#[derive(Clone, Copy, Debug, Default)]
struct GateState {
    closed: bool,
    running: usize,
}

/// Counts the work in flight and admits no new work once it is closed. Clones share the state.
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

/// Permit for one piece of work, which counts as in flight until the permit is dropped.
#[derive(Debug)]
pub struct WorkPermit {
    gate: WorkGate,
}

impl WorkGate {
    /// Creates an open gate.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a piece of work; `None` if the gate is closed.
    pub fn enter(&self) -> Option<WorkPermit> {
        let mut entered = false;
        self.state.send_if_modified(|state| {
            entered = !state.closed;
            state.running += usize::from(entered);
            entered
        });
        entered.then(|| WorkPermit { gate: self.clone() })
    }

    /// Closes the gate, so that no new work is admitted.
    pub fn close(&self) {
        self.state.send_modify(|state| state.closed = true);
    }

    /// Tells whether the gate is closed.
    pub fn is_closed(&self) -> bool {
        self.state.borrow().closed
    }

    /// Returns how many pieces of work are in flight.
    pub fn running(&self) -> usize {
        self.state.borrow().running
    }

    /// Waits until no work is in flight.
    pub async fn wait_until_empty(&self) {
        let mut receiver = self.state.subscribe();
        // Fails only if the sender is dropped, which lives as long as `self`.
        let _ = receiver.wait_for(|state| state.running == 0).await;
    }
}

impl Drop for WorkPermit {
    fn drop(&mut self) {
        self.gate.state.send_modify(|state| state.running -= 1);
    }
}
