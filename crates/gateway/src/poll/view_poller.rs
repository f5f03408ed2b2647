use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, TimeSpan};
use tokio::time::sleep;

use crate::peer::PeerClient;
use crate::{GatewayCore, SourceError, ViewArea};

/// Pause between two requests for changes, so that changes in quick succession arrive in one
/// response.
const CHANGE_PAUSE: Duration = Duration::from_millis(60);
/// Time for which the store holds a request for changes of the configuration (long polling).
const CONFIG_WAIT: TimeSpan = TimeSpan::from_secs(25);
/// Time for which the store holds a request for changes of targets. It is short because each
/// response confirms that the targets are up to date, which this node passes on to its peers.
const TARGETS_WAIT: TimeSpan = TimeSpan::new(600);
/// Pause before a node that does not read the area itself checks again whether it has to.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a first failure; a held request may be cut off without any outage.
const FIRST_PAUSE: Duration = Duration::from_millis(30);
/// Pause after further failures.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Keeps one area of the published items up to date by long polling of the store, while this node
/// is one that reads the area itself.
pub struct ViewPoller {
    core: Arc<GatewayCore>,
    area: ViewArea,
    /// Failed requests since the last response.
    failures: u32,
}

impl ViewPoller {
    /// Creates the poller of an area.
    pub fn new(core: Arc<GatewayCore>, area: ViewArea) -> Self {
        Self {
            core,
            area,
            failures: 0,
        }
    }

    /// Polls until the process ends.
    pub async fn run(mut self) {
        loop {
            if !self.is_reader() {
                sleep(IDLE_PAUSE).await;
                continue;
            }
            match self.poll().await {
                Ok(()) => {
                    self.on_response();
                    sleep(CHANGE_PAUSE).await;
                }
                Err(failure) => {
                    self.on_failure(&failure);
                    let pause = match self.failures {
                        1 => FIRST_PAUSE,
                        _ => FAILURE_PAUSE,
                    };
                    sleep(pause).await;
                }
            }
        }
    }

    /// Whether this node reads the area itself now.
    fn is_reader(&self) -> bool {
        let area = self.area;
        self.core
            .with_state(|state, now| state.reads_from_store(now, area))
    }

    /// Records whether a request for changes of targets is held at the store.
    fn set_waiting(&self, is_waiting: bool) {
        if self.area == ViewArea::Targets {
            self.core
                .with_state(|state, _| state.is_watching_store = is_waiting);
        }
    }

    /// Waits for changes and applies them; reads all items if none are known, after a failure, or
    /// if the store no longer has the changes.
    async fn poll(&mut self) -> Result<(), SourceError> {
        let area = self.area;
        let known = self
            .core
            .with_state(|state, _| state.view.mirror(area).revision());
        let source = &self.core.ports.source;
        let Some(known) = known.filter(|_| self.failures == 0) else {
            // After a failure all items are read: that shows at once whether the store answers
            // again, while a request for changes is held until there is one.
            return self.read_all().await;
        };
        self.set_waiting(true);
        let result = source.wait_changes(area, known, max_wait(area)).await;
        self.set_waiting(false);
        match result {
            Ok(batch) => {
                if self.core.apply_changes(area, batch, "store") && area == ViewArea::Targets {
                    PeerClient::new(self.core.clone()).push_changes(known);
                }
                Ok(())
            }
            Err(SourceError::HistoryCompacted) => self.read_all().await,
            Err(failure) => Err(failure),
        }
    }

    /// Reads all items of the area.
    async fn read_all(&mut self) -> Result<(), SourceError> {
        let area = self.area;
        let (revision, items) = self.core.ports.source.read_all(area).await?;
        // Before the items are applied: after an outage of the store, targets missing from the
        // items are not removed at once, and this call records the end of the outage.
        self.on_response();
        self.core.replace_items(area, revision, items, "store");
        Ok(())
    }

    /// Handles a response of the store; logs the end of an outage.
    fn on_response(&mut self) {
        self.failures = 0;
        if self.area != ViewArea::Targets {
            return;
        }
        let was_lost = self
            .core
            .with_state(|state, now| state.view.guard.on_store_regained(now));
        if was_lost {
            log::info!(
                event = EventKind::PlatformFound.number(),
                node = self.core.node().as_str();
                "store answers again"
            );
        }
    }

    /// Handles a failed request; the second in a row counts as an outage and is logged.
    fn on_failure(&mut self, failure: &SourceError) {
        self.failures += 1;
        // A single failure is normal: a held request may be cut off without any outage.
        if self.failures != 2 {
            return;
        }
        let area = self.area;
        let age = self.core.with_state(|state, now| {
            if area == ViewArea::Targets {
                state.view.guard.on_store_lost();
            }
            let confirmed = match area {
                ViewArea::Config => state.view.config_at,
                ViewArea::Targets => state.view.targets_at,
            };
            now.since(confirmed).as_millis()
        });
        log::warn!(
            event = EventKind::PlatformLost.number(),
            node = self.core.node().as_str(),
            area = area.to_string().as_str(),
            view_age_ms = age;
            "{failure}"
        );
    }
}

/// Time for which the store holds a request for changes of an area.
fn max_wait(area: ViewArea) -> TimeSpan {
    match area {
        ViewArea::Config => CONFIG_WAIT,
        ViewArea::Targets => TARGETS_WAIT,
    }
}
