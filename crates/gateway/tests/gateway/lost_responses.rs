//! Responses of the store that are lost while their connections stay open.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::ConfigVersion;
use tokio::time::{Instant, sleep};

use crate::support::{FakeStore, FakeTarget, Gateway, LostResponses, TargetMode, until};

/// Time after the end of an impairment of the store within which changes have to be in force; the
/// users' bound.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

fn version(gateway: &Gateway) -> ConfigVersion {
    let core = gateway.server.core();
    core.with_state(|state, _| state.view.version())
}

/// Starts gateways of one store, in the given failure domains, which all know one another.
async fn start_fleet(domains: &[&str]) -> (Arc<FakeStore>, Vec<Gateway>) {
    let store = FakeStore::new();
    store.put_config(1);
    let mut gateways: Vec<Gateway> = Vec::new();
    for domain in domains {
        let seeds = gateways.iter().map(|one| one.peers).take(2).collect();
        gateways.push(Gateway::start(&store, domain, seeds).await);
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    until("all nodes know each other", || {
        gateways.iter().all(|gateway| {
            let core = gateway.server.core();
            core.with_state(|state, now| state.peers.alive(now).len()) == gateways.len() - 1
        })
    })
    .await;
    (store, gateways)
}

/// Publishes a configuration while responses are lost; returns how long after the end of the
/// trouble all gateways had put it in force.
async fn lose_change(
    store: &FakeStore,
    gateways: &[Gateway],
    change: u64,
    lost: LostResponses,
    trouble: Duration,
) -> Duration {
    store.lose(lost);
    store.put_config(change);
    sleep(trouble).await;
    store.lose(LostResponses::None);
    let end = Instant::now();
    until("the change is in force everywhere", || {
        gateways
            .iter()
            .all(|gateway| version(gateway) == ConfigVersion(change))
    })
    .await;
    println!(
        "{lost:?} for {trouble:?}: in force after {:?}",
        end.elapsed()
    );
    end.elapsed()
}

// Guards against a key that works on after it was taken away, because the responses to all requests
// that wait for changes of the configuration were lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_change_of_the_configuration_is_found() {
    let (store, gateways) = start_fleet(&["patan", "balaju"]).await;
    let trouble = Duration::from_millis(4_200);
    for change in [2, 3] {
        let lost = LostResponses::ConfigChanges;
        let delay = lose_change(&store, &gateways, change, lost, trouble).await;
        assert!(delay < CONTACT_TIMEOUT, "change {change} after {delay:?}");
    }
}

// The same with other lost requests, at several moments of the rounds of the readers, in fleets of
// one and several failure domains.
#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_delay_no_change_beyond_their_end() {
    let fleets: [&[&str]; 4] = [
        &["patan"],
        &["patan", "patan", "patan"],
        &["patan", "balaju", "patan", "balaju"],
        &["patan", "balaju", "boudha", "patan", "boudha"],
    ];
    let runs = fleets.into_iter().enumerate().map(async |(number, fleet)| {
        let (store, gateways) = start_fleet(fleet).await;
        let kinds = [
            LostResponses::All,
            LostResponses::AllChanges,
            LostResponses::ConfigChanges,
        ];
        let mut change = 1;
        for round in 0..2 {
            for lost in kinds {
                change += 1;
                let trouble = Duration::from_millis(300 + 530 * round + 170 * number as u64);
                let delay = lose_change(&store, &gateways, change, lost, trouble).await;
                assert!(
                    delay < CONTACT_TIMEOUT,
                    "{fleet:?}, {lost:?} for {trouble:?}: {delay:?}"
                );
            }
        }
    });
    futures_util::future::join_all(runs).await;
}

// The same on the nodes of one failure domain, whose peers get the responses, and once more while
// these recover.
#[tokio::test(flavor = "multi_thread")]
async fn responses_lost_in_one_domain_delay_no_change_beyond_their_end() {
    let (store, gateways) = start_fleet(&["patan", "balaju", "patan", "balaju", "boudha"]).await;
    let kinds = [
        LostResponses::All,
        LostResponses::AllChanges,
        LostResponses::ConfigChanges,
    ];
    let mut change = 1;
    for domain in ["patan", "balaju", "boudha"] {
        for lost in kinds {
            change += 1;
            store.lose_in(&[domain], lost);
            store.put_config(change);
            sleep(Duration::from_millis(900)).await;
            store.lose(LostResponses::None);
            sleep(Duration::from_millis(100)).await;
            store.lose_in(&[domain], lost);
            sleep(Duration::from_millis(300)).await;
            store.lose(LostResponses::None);
            let end = Instant::now();
            until("the change is in force everywhere", || {
                gateways
                    .iter()
                    .all(|gateway| version(gateway) == ConfigVersion(change))
            })
            .await;
            println!("{domain}, {lost:?}: in force after {:?}", end.elapsed());
            assert!(end.elapsed() < CONTACT_TIMEOUT, "{domain}, {lost:?}");
        }
    }
}

// Guards against requests to the store that a calm fleet does not need: changes of targets and of
// the configuration that arrive as they should cause none beside the held ones.
#[tokio::test(flavor = "multi_thread")]
async fn changes_that_arrive_cause_no_further_reads() {
    let (store, gateways) = start_fleet(&["patan", "balaju"]).await;
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    // The held request of each node, once for each change of the configuration.
    sleep(Duration::from_millis(500)).await;
    let before = store.config_reads.load(Ordering::Relaxed);
    for round in 0..6 {
        store.put_target(&target, ["ready", "leaving"][round % 2]);
        sleep(Duration::from_millis(300)).await;
    }
    store.put_config(2);
    sleep(Duration::from_millis(1_500)).await;
    assert!(
        gateways
            .iter()
            .all(|gateway| version(gateway) == ConfigVersion(2))
    );
    let reads = store.config_reads.load(Ordering::Relaxed) - before;
    assert_eq!(reads, gateways.len());
}

/// Guards against a fleet that keeps loading a store that is down: each node asks less and less
/// often, and still learns a change soon after the outage.
#[tokio::test]
async fn a_store_that_is_down_is_asked_less_and_less_often() {
    const OUTAGE: Duration = Duration::from_secs(6);
    /// The first four requests of a node, and then one in each 1.6 s.
    const MAX_READS: usize = 4 + 4;
    let (store, gateways) = start_fleet(&["patan", "patan", "balaju", "balaju"]).await;
    store.is_down.store(true, Ordering::Relaxed);
    store.put_config(2);
    sleep(OUTAGE).await;
    let rejected = store.rejected_config_reads.load(Ordering::Relaxed);
    assert!(
        rejected <= MAX_READS * gateways.len(),
        "{rejected} requests"
    );
    store.is_down.store(false, Ordering::Relaxed);
    let end = Instant::now();
    until("the change is in force everywhere", || {
        gateways
            .iter()
            .all(|gateway| version(gateway) == ConfigVersion(2))
    })
    .await;
    assert!(end.elapsed() < CONTACT_TIMEOUT, "{:?}", end.elapsed());
}
