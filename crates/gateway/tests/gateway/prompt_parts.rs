//! Parts of prompts that crash the targets that run them, in calls that differ in everything else.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::IncarnationNumber;
use entry::FeatureId;
use tokio::io::AsyncReadExt;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::support::{
    DEADLY_PART, FakeStore, FakeTarget, Gateway, TargetMode, call, open_stream, start_setup, until,
};

/// Targets that a deadly part may crash.
const CRASH_LIMIT: usize = 6;
/// Time within which gateways that reach each other agree on which parts crash targets.
const AGREE_WAIT: Duration = Duration::from_secs(3);
/// Events of an answer.
const EVENTS: u64 = 20;

/// Two gateways in different failure domains, and targets that crash on a part of a prompt.
struct PartFleet {
    store: Arc<FakeStore>,
    gateways: Vec<Gateway>,
    targets: Vec<FakeTarget>,
}

impl PartFleet {
    async fn start(target_count: usize) -> Self {
        let store = FakeStore::new();
        store.put_config(1);
        let mut fleet = Self {
            gateways: start_gateways(&store).await,
            store,
            targets: Vec::new(),
        };
        for _ in 0..target_count {
            let target = FakeTarget::start("pool", TargetMode::CrashOnPart(EVENTS)).await;
            fleet.store.put_target(&target, "ready");
            fleet.targets.push(target);
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Replaces the gateways by others that know nothing of them, as if all had been killed.
    async fn replace_gateways(&mut self) {
        self.gateways = start_gateways(&self.store).await;
        self.wait_ready().await;
    }

    async fn wait_ready(&self) {
        let is_ready = |gateway: &Gateway| {
            let core = gateway.server.core();
            core.with_state(|state, now| {
                let known = state.balancer.targets().len();
                known == self.targets.len() && !state.peers.alive(now).is_empty()
            })
        };
        until("the gateways know all targets and each other", || {
            self.gateways.iter().all(is_ready)
        })
        .await;
    }

    fn address(&self, number: usize) -> SocketAddr {
        self.gateways[number % self.gateways.len()].callers
    }

    fn crashes(&self) -> usize {
        self.targets.iter().map(FakeTarget::crashes).sum()
    }

    /// Number of calls with the deadly part that arrived at targets.
    fn deadly_arrivals(&self) -> usize {
        let calls = self.targets.iter().flat_map(FakeTarget::calls);
        calls.filter(|call| call.contains(DEADLY_PART)).count()
    }

    /// Makes a call whose prompt has the deadly part behind a part that sound calls share; returns
    /// the status and whether the answer was whole.
    async fn call_deadly(&self, number: usize) -> (u16, bool) {
        let parts = format!("common,{DEADLY_PART}");
        call_with_parts(self.address(number), &format!("deadly-{number}"), &parts).await
    }

    async fn call_sound(&self, number: usize) -> (u16, bool) {
        call_with_parts(self.address(number), &format!("sound-{number}"), "common").await
    }
}

async fn start_gateways(store: &Arc<FakeStore>) -> Vec<Gateway> {
    let first = Gateway::start_ready(store).await;
    let second = Gateway::start(store, "balaju", vec![first.peers]).await;
    second.wait_ready().await;
    vec![first, second]
}

async fn call_with_parts(address: SocketAddr, id: &str, parts: &str) -> (u16, bool) {
    let headers = format!("x-id: {id}\r\nx-size: 20\r\nx-parts: {parts}\r\n");
    let response = call(address, "/stream/1", &headers, id).await;
    let is_whole = response.text.contains(&format!("piece {EVENTS}"));
    (response.status, is_whole)
}

// Guards against blaming calls one by one for what a part of their prompts does.
#[tokio::test]
async fn calls_that_share_a_deadly_part_stop_reaching_targets() {
    let fleet = PartFleet::start(14).await;
    for number in 0..10 {
        fleet.call_deadly(number).await;
    }
    assert!(
        fleet.crashes() <= CRASH_LIMIT,
        "{} crashed",
        fleet.crashes()
    );
    sleep(AGREE_WAIT).await;
    let before = fleet.deadly_arrivals();
    for number in 10..14 {
        let (status, _) = fleet.call_deadly(number).await;
        assert_eq!(status, 422);
    }
    assert_eq!(fleet.deadly_arrivals(), before);
    for number in 0..4 {
        assert_eq!(fleet.call_sound(number).await, (200, true));
    }
}

// Guards against crashing a target with each of the calls that arrive before the first crash is known.
#[tokio::test]
async fn calls_with_a_deadly_part_that_arrive_at_once_crash_few_targets() {
    let fleet = Arc::new(PartFleet::start(14).await);
    let mut calls = JoinSet::new();
    for number in 0..10 {
        let fleet = fleet.clone();
        calls.spawn(async move {
            sleep(Duration::from_millis(100) * number).await;
            fleet.call_deadly(number as usize).await
        });
    }
    calls.join_all().await;
    assert!(
        fleet.crashes() <= CRASH_LIMIT,
        "{} crashed",
        fleet.crashes()
    );
}

// Guards against missing a crash because the process was started again before the gateway could see
// that it had ended.
#[tokio::test]
async fn a_crash_is_blamed_on_the_part_when_another_run_shows_it() {
    let (store, targets, gateway) = start_setup("pool", &[TargetMode::Break]).await;
    let headers = "x-id: a-1\r\nx-size: 20\r\nx-parts: common\r\n";
    let response = call(gateway.callers, "/stream/1", headers, "body").await;
    assert_eq!(response.status, 502);
    let core = gateway.server.core();
    let part = FeatureId::of_part(&"common".parse().unwrap());
    let blamed = || core.with_state(|state, now| state.facts.crashed_targets(now, part).len());
    sleep(Duration::from_millis(300)).await;
    assert_eq!(blamed(), 0);
    store.put_run(&targets[0], "ready", 2);
    until("the crash is blamed on the part", || blamed() == 1).await;
}

// Guards against a gateway that joins later and does not learn which parts crash targets.
#[tokio::test]
async fn a_gateway_that_joins_knows_which_parts_crash_targets() {
    let fleet = PartFleet::start(8).await;
    for number in 0..6 {
        fleet.call_deadly(number).await;
    }
    let before = fleet.deadly_arrivals();
    let third = Gateway::start(&fleet.store, "thapathali", vec![fleet.gateways[0].peers]).await;
    third.wait_ready().await;
    let parts = format!("common,{DEADLY_PART}");
    let (status, _) = call_with_parts(third.callers, "late", &parts).await;
    assert_eq!((status, fleet.deadly_arrivals()), (422, before));
}

// Guards against spending targets on a deadly part anew each time all gateways are lost. Callers' pages allow
// three calls beyond the fifth crash, however often that happens.
#[tokio::test]
async fn a_deadly_part_crashes_few_targets_after_all_gateways_were_lost() {
    const LOSSES: usize = 3;
    const ALLOWED: usize = 5 + 3;
    let mut fleet = PartFleet::start(20).await;
    for loss in 0..=LOSSES {
        if loss > 0 {
            fleet.replace_gateways().await;
        }
        for number in 0..5 {
            fleet.call_deadly(number + 10 * loss).await;
            for gateway in 0..2 {
                let sound = gateway + 2 * number + 10 * loss;
                assert_eq!(fleet.call_sound(sound).await, (200, true));
            }
        }
    }
    assert!(fleet.crashes() <= ALLOWED, "{} crashed", fleet.crashes());
    assert_eq!(fleet.deadly_arrivals(), fleet.crashes());
}

// Guards against refusing sound calls because targets that crash for other reasons, one after the other,
// each ran calls with the same popular part.
#[tokio::test]
async fn no_part_is_refused_when_targets_crash_for_other_reasons() {
    let fleet = Arc::new(PartFleet::start(10).await);
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        let fleet = fleet.clone();
        callers.spawn(async move {
            let mut statuses = Vec::new();
            for number in 0..12 {
                statuses.push(fleet.call_sound(caller + 10 * number).await.0);
            }
            statuses
        });
    }
    for target in &fleet.targets[..8] {
        sleep(Duration::from_millis(350)).await;
        target.crash();
    }
    let statuses = callers.join_all().await.concat();
    assert!(!statuses.contains(&422), "{statuses:?}");
    assert_eq!(fleet.crashes(), 8);
    for number in 0..4 {
        assert_eq!(fleet.call_sound(number).await, (200, true));
    }
}

// Guards against a new round of crashes for each other part that stands beside a deadly one.
#[tokio::test]
async fn a_deadly_part_behind_ever_new_parts_crashes_few_targets() {
    let fleet = PartFleet::start(14).await;
    for number in 0..12 {
        let parts = format!("new-{},{DEADLY_PART}", number / 3);
        let id = format!("deadly-{number}");
        call_with_parts(fleet.address(number), &id, &parts).await;
    }
    assert!(
        fleet.crashes() <= CRASH_LIMIT,
        "{} crashed",
        fleet.crashes()
    );
}

// Guards against clearing a part by an answer that moved to another target and began before the part
// crashed targets.
#[tokio::test]
async fn an_answer_that_moved_clears_no_death_since_it_began() {
    const LONG: u64 = 200;
    let (store, targets, gateway) = start_setup("pool", &[TargetMode::Stream(LONG)]).await;
    let headers = "x-id: long\r\nx-size: 200\r\nx-parts: common\r\n";
    let mut stream = open_stream(gateway.callers, "/stream/1", headers, "").await;
    let mut text = String::new();
    while !text.contains("piece 1\n") {
        let mut bytes = [0; 512];
        let count = stream.read(&mut bytes).await.unwrap();
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    let core = gateway.server.core();
    let part = FeatureId::of_part(&"common".parse().unwrap());
    sleep(Duration::from_millis(400)).await;
    for name in ["e1", "e2"] {
        // Targets that die together count once.
        sleep(Duration::from_millis(150)).await;
        core.with_state(|state, now| {
            let run = IncarnationNumber(1);
            let sign = state.facts.crash_sign(part, &name.parse().unwrap(), run);
            state.facts.confirm_death(now, sign);
        });
    }
    let other = FakeTarget::start("pool", TargetMode::Stream(LONG)).await;
    store.put_target(&other, "ready");
    until("the other target is known", || {
        core.with_state(|state, _| state.balancer.targets().len() == 2)
    })
    .await;
    core.mark_target_leaving(
        &targets[0].name.parse().unwrap(),
        IncarnationNumber(1),
        "test",
    );
    stream.read_to_string(&mut text).await.unwrap();
    assert!(text.contains(&format!("piece {LONG}\n")));
    assert!(!other.calls().is_empty(), "the answer moved");
    let blamed = core.with_state(|state, now| state.facts.crashed_targets(now, part).len());
    assert_eq!(blamed, 2);
}
