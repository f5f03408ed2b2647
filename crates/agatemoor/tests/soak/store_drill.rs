//! Drills: the store of the platform comes back from a copy some seconds old.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::body_flood::call;
use super::fake_runner::{FakeRunner, breaks_off};
use super::soak_fleet::{SoakFleet, SoakPlan, SoakProfile, start_fleet};

/// Time within which a configuration or a removal has to be in force everywhere.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Writes to the store between the copy and the drill.
const LOST_WRITES: u64 = 60;
/// Requests a second to the store from all gateways; a hundredth of what the smallest site allows.
const REQUEST_RATE: f64 = 20.0;
const GATEWAYS: usize = 4;
/// Plain services of the first failure domain: one that drains, one that is gone, one that leaves later.
const DRAINING: usize = 5;
const GONE: usize = 6;
const LEAVING: usize = 7;

/// A fleet whose store is about to lose what is written after the copy.
async fn start_drill_fleet(seed: u64) -> SoakFleet {
    let plan = SoakPlan {
        seed,
        gateways: GATEWAYS,
        callers: 0,
        fault_duration: Duration::ZERO,
        processor_percent: None,
        profile: SoakProfile::Faults,
    };
    start_fleet(&plan).await
}

/// Status of a call to the route `spare` at each gateway.
async fn spare_statuses(fleet: &SoakFleet, name: &str) -> Vec<u16> {
    let calls = (0..GATEWAYS).map(|gateway| {
        let id = format!("{name}-{gateway}");
        call(fleet.caller_address(gateway), id, "/spare/1", 10)
    });
    let calls: Vec<_> = calls.map(tokio::spawn).collect();
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.await.unwrap());
    }
    statuses
}

/// Waits until all gateways answer calls to the route `spare` with `status`; returns how long that
/// took.
async fn until_spare(fleet: &SoakFleet, status: u16) -> Duration {
    let start = Instant::now();
    loop {
        let name = format!("until-{status}-{}", start.elapsed().as_millis());
        let statuses = spare_statuses(fleet, &name).await;
        if statuses.iter().all(|one| *one == status) {
            return start.elapsed();
        }
        let waited = start.elapsed();
        assert!(waited < APPLY_TIME * 4, "{statuses:?} after {waited:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Calls plain services through some gateways until `is_over`; each caller returns how many failed.
fn spawn_calls(fleet: &SoakFleet, gateways: usize, is_over: &Arc<AtomicBool>) -> JoinSet<u32> {
    let mut callers = JoinSet::new();
    for gateway in 0..gateways {
        let (address, is_over) = (fleet.caller_address(gateway), is_over.clone());
        callers.spawn(async move {
            let mut failed = 0;
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("drill-{gateway}-{number}");
                if breaks_off(&id) {
                    continue;
                }
                let status = call(address, id, "/read/1", 10).await;
                failed += u32::from(status != 200);
                sleep(Duration::from_millis(15)).await;
            }
            failed
        });
    }
    callers
}

/// Has the targets of the fleet write their entries again, but for one that is gone.
fn publish_again(fleet: &SoakFleet) {
    let runners = fleet.runners().iter().enumerate();
    for (_, runner) in runners.filter(|(number, _)| *number != GONE) {
        runner.publish_again();
    }
}

fn arrivals(runners: &[Arc<FakeRunner>], numbers: &[usize]) -> Vec<u64> {
    numbers
        .iter()
        .map(|number| runners[*number].arrivals())
        .collect()
}

/// What else happens in a drill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrillVariant {
    Once,
    /// A second drill follows, back to the same copy.
    Twice,
    /// A gateway starts as the store comes back, and reads its copy before anything is written again.
    NewGateway,
    /// A gateway is paused from before the store is away until after its return.
    PausedGateway,
}

// Guards against nodes that are deaf to the store after it came back with older revisions, or that return to an
// older configuration and to targets that left, by what its copy says.
#[yare::parameterized(
    once = { 501, DrillVariant::Once },
    twice = { 502, DrillVariant::Twice },
    with_a_new_gateway = { 503, DrillVariant::NewGateway },
    with_a_paused_gateway = { 504, DrillVariant::PausedGateway },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_store_that_comes_back_older_takes_nothing_back(seed: u64, variant: DrillVariant) {
    let mut fleet = start_drill_fleet(seed).await;
    let platform = fleet.platform().clone();
    let runners = fleet.runners().to_vec();
    until_spare(&fleet, 200).await;
    let copy = platform.copy();
    fleet.publish_config(2, false);
    runners[DRAINING].leave(true, Duration::from_secs(120));
    platform.remove(&runners[GONE].key());
    for number in 0..LOST_WRITES {
        platform.put("op/other", &number.into());
    }
    until_spare(&fleet, 404).await;
    sleep(APPLY_TIME).await;
    let is_over = Arc::new(AtomicBool::new(false));
    // The last gateway may not serve in the drill.
    let callers = spawn_calls(&fleet, GATEWAYS - 1, &is_over);
    let left = [DRAINING, GONE];
    let before = arrivals(&runners, &left);

    let drills = match variant {
        DrillVariant::Twice => 2,
        _ => 1,
    };
    if variant == DrillVariant::PausedGateway {
        fleet.signal(GATEWAYS - 1, "STOP");
    }
    for _ in 0..drills {
        platform.set_unavailable(true);
        sleep(Duration::from_millis(600)).await;
        platform.restore(copy.clone());
        platform.set_unavailable(false);
        sleep(Duration::from_millis(300)).await;
    }
    if variant == DrillVariant::NewGateway {
        fleet.restart(GATEWAYS - 1);
    }
    if variant == DrillVariant::PausedGateway {
        fleet.signal(GATEWAYS - 1, "CONT");
    }
    let (returned_at, requests) = (Instant::now(), platform.requests());
    // Nothing is written again yet.
    while returned_at.elapsed() < Duration::from_millis(1_500) {
        let name = format!("older-{}", returned_at.elapsed().as_millis());
        let statuses = spare_statuses(&fleet, &name).await;
        let (last, others) = statuses.split_last().unwrap();
        assert_eq!(others, [404; GATEWAYS - 1]);
        let may_start = variant == DrillVariant::NewGateway && [0, 503].contains(last);
        assert!(*last == 404 || may_start, "{last}");
        sleep(Duration::from_millis(50)).await;
    }
    fleet.publish_config(2, false);
    publish_again(&fleet);
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(arrivals(&runners, &left), before);

    fleet.publish_config(3, true);
    platform.remove(&runners[LEAVING].key());
    let applied_after = until_spare(&fleet, 200).await;
    assert!(
        applied_after < APPLY_TIME,
        "in force after {applied_after:?}"
    );
    sleep(APPLY_TIME - applied_after).await;
    let left = [DRAINING, GONE, LEAVING];
    let before = arrivals(&runners, &left);
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(arrivals(&runners, &left), before);
    let seconds = returned_at.elapsed().as_secs_f64();
    let rate = (platform.requests() - requests) as f64 / seconds;
    println!("{variant:?}: {rate:.1} requests a second to the store in {seconds:.1} s");
    assert!(rate < REQUEST_RATE, "{rate} requests a second to the store");
    is_over.store(true, Ordering::Relaxed);
    let failed: u32 = callers.join_all().await.into_iter().sum();
    assert_eq!(failed, 0, "sound calls failed");
}
