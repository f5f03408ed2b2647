use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, TimeSpan};
use entry::{ItemChange, StorePosition, latest_gap};
use tokio::time::sleep;

use crate::peer::PeerClient;
use crate::{GatewayCore, ItemBatch, ItemOrigin, SourceError, ViewArea};

/// Pause between two requests for changes, so that changes in quick succession arrive in one
/// response.
const CHANGE_PAUSE: Duration = Duration::from_millis(60);
/// Time for which the store holds a request for changes of the configuration (long polling).
const CONFIG_WAIT: TimeSpan = TimeSpan::from_secs(25);
/// Time for which the store holds a request for changes of targets. It is short because each
/// response confirms that the targets are up to date, which this node passes on to its peers.
const TARGETS_WAIT: TimeSpan = TimeSpan::new(600);
/// Time for which the store holds a request that only asks what has changed up to now.
const CHECK_WAIT: TimeSpan = TimeSpan::new(1);
/// Time for a held request to report a change of which another read has shown signs. A slow store
/// takes some 240 ms to answer.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Pause before a node that does not read the area itself checks again whether it has to.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Failed requests in a row from which on the store counts as lost for this node. A single failure is
/// normal: a held request may be cut off without any outage.
const LOST_FAILURES: u32 = 2;
/// Pause after a first failure; a held request may be cut off without any outage.
const FIRST_PAUSE: Duration = Duration::from_millis(30);
/// Pause after the second failure in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause between failed requests; a node learns changes from its peers meanwhile.
const LONGEST_FAILURE_PAUSE: Duration = Duration::from_millis(1_600);

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
                self.on_idle();
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
                    sleep(self.failure_pause()).await;
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

    /// Pause before the next request after a failed one. It doubles with each failure, since all nodes
    /// would load a store that is overloaded or comes back; only the nodes that read targets for the
    /// fleet keep asking at a fixed interval, so that its return is noticed soon.
    fn failure_pause(&self) -> Duration {
        let reads_for_fleet = self.area == ViewArea::Targets
            && self
                .core
                .with_state(|state, now| state.is_target_reader(now));
        match self.failures {
            0 | 1 => FIRST_PAUSE,
            _ if reads_for_fleet => FAILURE_PAUSE,
            failures => (FAILURE_PAUSE * (1 << (failures - 2).min(8))).min(LONGEST_FAILURE_PAUSE),
        }
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
            .with_state(|state, _| state.view.mirror(area).position());
        let source = &self.core.ports.source;
        let Some(known) = known.filter(|_| self.failures == 0) else {
            // After a failure all items are read: that shows at once whether the store answers
            // again, while a request for changes is held until there is one.
            return self.read_all().await;
        };
        let result = match area {
            ViewArea::Config => self.wait_config(known).await,
            ViewArea::Targets => {
                self.set_waiting(true);
                let result = source.wait_changes(area, known, TARGETS_WAIT).await;
                self.set_waiting(false);
                result
            }
        };
        match result {
            Ok(batch) => {
                let revisions = batch.changes.iter().map(ItemChange::revision);
                self.note_gap(known.revision, batch.position, revisions);
                self.core.record_store_answer();
                let has_changed = self.core.apply_changes(area, batch, ItemOrigin::Store);
                if has_changed && area == ViewArea::Targets {
                    PeerClient::new(self.core.clone()).push_changes(known);
                }
                Ok(())
            }
            Err(SourceError::HistoryCompacted | SourceError::EraChanged) => self.read_all().await,
            Err(failure) => Err(failure),
        }
    }

    /// Waits for changes of the configuration.
    ///
    /// The store holds the request for long, and nothing on its connection shows that its response
    /// was lost. It is given up once reads of targets show that the configuration may have changed
    /// and no change arrives.
    async fn wait_config(&self, known: StorePosition) -> Result<ItemBatch, SourceError> {
        let (core, area) = (&self.core, ViewArea::Config);
        let source = &core.ports.source;
        tokio::select! {
            result = source.wait_changes(area, known, CONFIG_WAIT) => return result,
            () = core.until_config_lacking(REPORT_DELAY) => {}
        }
        let hint = core.with_state(|state, _| state.view.config_hint);
        log::info!(
            event = EventKind::WatchAbandoned.number(),
            node = core.node().as_str(),
            area = area.to_string().as_str(),
            era = known.era.0,
            revision = known.revision,
            hint = hint.revision;
            "held request given up, as the store may have a change that it did not report"
        );
        let checked = source.wait_changes(area, known, CHECK_WAIT).await?;
        core.with_state(|state, _| state.view.settle_config_hint(hint));
        Ok(checked)
    }

    /// Records, after a read of targets, the latest revision of the store that no target accounts
    /// for, as the configuration may have changed then.
    fn note_gap(&self, after: u64, until: StorePosition, revisions: impl Iterator<Item = u64>) {
        if self.area != ViewArea::Targets {
            return;
        }
        if let Some(revision) = latest_gap(after, until.revision, revisions) {
            self.core
                .record_config_hint(StorePosition::new(until.era, revision));
        }
    }

    /// Reads all items of the area.
    async fn read_all(&mut self) -> Result<(), SourceError> {
        let area = self.area;
        let (position, items) = self.core.ports.source.read_all(area).await?;
        self.note_gap(0, position, items.iter().map(|item| item.revision));
        self.core.record_store_answer();
        self.core
            .replace_items(area, position, items, ItemOrigin::Store);
        Ok(())
    }

    /// Handles a response of the store; logs the end of failures.
    fn on_response(&mut self) {
        if std::mem::take(&mut self.failures) >= LOST_FAILURES {
            log::info!(
                event = EventKind::PlatformFound.number(),
                node = self.core.node().as_str(),
                area = self.area.to_string().as_str();
                "store answers again"
            );
        }
    }

    /// Ends a series of failures, as other nodes read the area again.
    fn on_idle(&mut self) {
        if std::mem::take(&mut self.failures) >= LOST_FAILURES {
            log::info!(
                event = EventKind::PlatformFound.number(),
                node = self.core.node().as_str(),
                area = self.area.to_string().as_str();
                "store answers other nodes, which read the area"
            );
        }
    }

    /// Handles a failed request; the second in a row is logged.
    fn on_failure(&mut self, failure: &SourceError) {
        self.failures += 1;
        if self.failures < LOST_FAILURES {
            return;
        }
        let area = self.area;
        let age = self.core.with_state(|state, now| {
            if area == ViewArea::Targets {
                state.view.guard.on_store_failure(now);
            }
            now.since(state.view.confirmed_at(area)).as_millis()
        });
        if self.failures > LOST_FAILURES {
            return;
        }
        log::warn!(
            event = EventKind::PlatformLost.number(),
            node = self.core.node().as_str(),
            area = area.to_string().as_str(),
            view_age_ms = age;
            "{failure}"
        );
    }
}
