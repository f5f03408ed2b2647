use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, TimeSpan};
use tokio::time::sleep;

use crate::peer::PeerExchange;
use crate::{GatewayCore, SourceError, ViewArea};

/// Pause between two waits for changes, so that changes in quick succession share a call.
const CHANGE_PAUSE: Duration = Duration::from_millis(60);
/// Time for which the store holds a call for changes of the configuration.
const CONFIG_WAIT: TimeSpan = TimeSpan::from_secs(25);
/// Time for which it holds one for changes of targets: each answer shows that the targets are up to
/// date, which the fleet is told.
const TARGETS_WAIT: TimeSpan = TimeSpan::new(600);
/// Pause before a node that is not a reader looks whether it has become one.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a first failure; a waiting call may be cut without any outage.
const FIRST_PAUSE: Duration = Duration::from_millis(30);
/// Pause after further failures.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Keeps one area of the published items up to date.
pub struct ViewFeed {
    core: Arc<GatewayCore>,
    area: ViewArea,
    failures: u32,
}

impl ViewFeed {
    /// Creates the feed of an area.
    pub fn new(core: Arc<GatewayCore>, area: ViewArea) -> Self {
        Self {
            core,
            area,
            failures: 0,
        }
    }

    /// Reads until the process ends.
    pub async fn run(mut self) {
        loop {
            if !self.is_reader() {
                sleep(IDLE_PAUSE).await;
                continue;
            }
            match self.read().await {
                Ok(()) => {
                    self.note_answer();
                    sleep(CHANGE_PAUSE).await;
                }
                Err(failure) => {
                    self.note_failure(&failure);
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
        self.core.with_state(|state, now| state.reads(now, area))
    }

    fn set_waiting(&self, is_waiting: bool) {
        if self.area == ViewArea::Targets {
            self.core
                .with_state(|state, _| state.is_waiting_at_store = is_waiting);
        }
    }

    async fn read(&mut self) -> Result<(), SourceError> {
        let area = self.area;
        let known = self
            .core
            .with_state(|state, _| state.view.mirror(area).revision());
        let source = &self.core.ports.source;
        let Some(known) = known.filter(|_| self.failures == 0) else {
            // After a failure the items are read anew: that shows at once whether the store is
            // back, while a wait for changes shows nothing until there is one.
            return self.read_anew().await;
        };
        self.set_waiting(true);
        let waited = source.wait_changes(area, known, wait_of(area)).await;
        self.set_waiting(false);
        match waited {
            Ok(batch) => {
                if self.core.take_batch(area, batch, "store") && area == ViewArea::Targets {
                    PeerExchange::new(self.core.clone()).push_changes(known);
                }
                Ok(())
            }
            Err(SourceError::HistoryCompacted) => self.read_anew().await,
            Err(failure) => Err(failure),
        }
    }

    async fn read_anew(&mut self) -> Result<(), SourceError> {
        let area = self.area;
        let (revision, items) = self.core.ports.source.read_all(area).await?;
        // Before the items are taken: whether vanished targets are doubted depends on it.
        self.note_answer();
        self.core.take_items(area, revision, items, "store");
        Ok(())
    }

    fn note_answer(&mut self) {
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
                "the store answers again"
            );
        }
    }

    fn note_failure(&mut self, failure: &SourceError) {
        self.failures += 1;
        // A single cut wait is normal.
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

fn wait_of(area: ViewArea) -> TimeSpan {
    match area {
        ViewArea::Config => CONFIG_WAIT,
        ViewArea::Targets => TARGETS_WAIT,
    }
}
