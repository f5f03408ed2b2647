//! A store that comes back from an older copy, as one gateway takes it.

use std::sync::Arc;

use base::TimeSpan;
use entry::{ItemChange, PublishedItem, StoreEra, StorePosition, TargetPhase};
use gateway::{GatewayCore, ItemBatch, ItemOrigin, ViewArea};

use crate::support::{FakeTarget, Gateway, TargetMode, start_setup, until};

/// A gateway that knows one target by what the test writes for it.
struct EraSetup {
    target: FakeTarget,
    gateway: Gateway,
}

impl EraSetup {
    async fn start() -> Self {
        let (store, mut targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
        let target = targets.remove(0);
        // The entries of the test are of later eras than all that this store tells.
        store.remove_target(&target);
        Self { target, gateway }
    }

    fn core(&self) -> &Arc<GatewayCore> {
        self.gateway.server.core()
    }

    /// The target's entry with the number of a report.
    fn entry(&self, revision: u64, state: &str, report: u64) -> PublishedItem {
        let value = format!("app {} {state} 1 patan 0 {report}", self.target.address);
        PublishedItem {
            key: self.target.name.as_str().into(),
            revision,
            value: value.into_bytes(),
        }
    }

    fn list(&self, era: u64, revision: u64, items: Vec<PublishedItem>) {
        let position = StorePosition::new(StoreEra(era), revision);
        let (area, origin) = (ViewArea::Targets, ItemOrigin::Store);
        self.core().replace_items(area, position, items, origin);
    }

    fn apply(&self, era: u64, change: ItemChange) {
        let batch = ItemBatch {
            position: StorePosition::new(StoreEra(era), change.revision()),
            changes: vec![change],
        };
        self.core()
            .apply_changes(ViewArea::Targets, batch, ItemOrigin::Store);
    }

    fn phase(&self) -> Option<TargetPhase> {
        let name = self.target.name.parse().unwrap();
        self.core().with_state(|state, _| {
            let found = state.balancer.target(&name);
            found.map(|target| target.phase)
        })
    }
}

// Guards against a sound target that stays out of use after a drill: its lease had expired before, so that it
// counted as gone although the copy of the store lists it, and it wrote its entry again.
#[tokio::test]
async fn a_target_that_writes_again_after_a_drill_is_used() {
    let setup = EraSetup::start().await;
    setup.list(1, 10, vec![setup.entry(9, "ready", 5)]);
    assert_eq!(setup.phase(), Some(TargetPhase::Ready));
    let key = setup.target.name.as_str().into();
    setup.apply(1, ItemChange::Removed { key, revision: 11 });
    // A new era began, so that its removal is doubted at first.
    until("the target is gone", || {
        matches!(setup.phase(), None | Some(TargetPhase::Leaving))
    })
    .await;
    setup.list(2, 9, vec![setup.entry(9, "ready", 5)]);
    assert_ne!(setup.phase(), Some(TargetPhase::Ready));
    setup.apply(2, ItemChange::Written(setup.entry(10, "ready", 6)));
    assert_eq!(setup.phase(), Some(TargetPhase::Ready));
}

// Guards against a sound target that a drill takes out of use: its lease had expired in an outage just before.
#[tokio::test]
async fn a_drill_ends_no_doubt_about_an_expired_lease() {
    let setup = EraSetup::start().await;
    setup.list(1, 10, vec![setup.entry(9, "ready", 5)]);
    let key = setup.target.name.as_str().into();
    setup.apply(1, ItemChange::Removed { key, revision: 11 });
    setup.list(2, 9, vec![setup.entry(9, "ready", 5)]);
    assert!(matches!(setup.phase(), Some(TargetPhase::Lapsed(_))));
    setup.apply(2, ItemChange::Written(setup.entry(10, "ready", 6)));
    assert_eq!(setup.phase(), Some(TargetPhase::Ready));
}

// The same as the first with a target that was draining, and is not any more.
#[tokio::test]
async fn a_target_that_drains_no_more_after_a_drill_is_used() {
    let setup = EraSetup::start().await;
    setup.list(1, 10, vec![setup.entry(9, "leaving", 5)]);
    setup.list(2, 8, vec![setup.entry(7, "ready", 3)]);
    assert_eq!(setup.phase(), Some(TargetPhase::Leaving));
    setup.apply(2, ItemChange::Written(setup.entry(9, "ready", 6)));
    assert_eq!(setup.phase(), Some(TargetPhase::Ready));
}

// Guards against lists of an earlier era that count as news that the targets are up to date: the node would stop
// reading them itself.
#[tokio::test]
async fn an_earlier_era_confirms_nothing() {
    let setup = EraSetup::start().await;
    setup.list(2, 8, vec![setup.entry(7, "ready", 3)]);
    let confirmed_at = || setup.core().with_state(|state, _| state.view.targets_at);
    let before = confirmed_at();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    setup.list(1, 90, Vec::new());
    let key = setup.target.name.as_str().into();
    setup.apply(1, ItemChange::Removed { key, revision: 91 });
    assert_eq!(confirmed_at(), before);
    assert_eq!(setup.phase(), Some(TargetPhase::Ready));
}

// Guards against a node that starts after a drill, reads the old copy, and stays at its configuration although
// its peers keep a newer one against the same item.
#[tokio::test]
async fn a_node_that_starts_after_a_drill_takes_the_newer_configuration_of_a_peer() {
    let setup = EraSetup::start().await;
    let item = |version: &str| PublishedItem {
        key: "config".into(),
        revision: 90,
        value: version.as_bytes().to_vec(),
    };
    let list = |revision, version, origin| {
        let position = StorePosition::new(StoreEra(2), revision);
        let items = vec![item(version)];
        let core = setup.core();
        core.replace_items(ViewArea::Config, position, items, origin);
        core.with_state(|state, _| state.view.version().0)
    };
    assert_eq!(list(95, "50", ItemOrigin::Store), 50);
    assert_eq!(list(97, "53", ItemOrigin::Peer(TimeSpan::ZERO)), 53);
    assert_eq!(list(98, "50", ItemOrigin::Store), 53);
    let copied = setup.core().with_state(|state, _| {
        let item = state.view.config_items.item("config");
        item.map(|item| item.value.clone())
    });
    assert_eq!(copied.as_deref(), Some(b"53".as_slice()));
}
