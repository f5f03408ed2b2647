//! Checks that forbid a send although the call was admitted and placed.

use std::time::Duration;

use base::{CallRate, ClockTime, ErrorKind, IncarnationNumber, PartId, TimeSpan};
use calls::RequestFingerprint;
use entry::{
    CallFeatures, ConfigVersion, EvacuationRecord, FeatureId, RateGrant, SendPermit, StoreEra,
    SuspectCall, WorkspaceIdentity,
};
use gateway::{
    AdmissionCheck, BackoffRequest, CallTimes, GatewayState, RateNotice, SendCheck, SendRefusal,
    StopPlan,
};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::support::{FakeStore, FakeTarget, Gateway, TargetMode, start_setup, until};

/// What changes between placing a call and sending it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Nothing,
    Crashes,
    PartCrashes,
    FailedTrials,
    OtherSuspect,
    Leaving,
    Gone,
    Evacuated,
    EvacuatedLong,
    Backoff,
    Rate,
    Key,
    Route,
    Stop,
}

const KEY: SmolStr = SmolStr::new_static("key-1");

/// Fingerprint of the call that is checked.
fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::new("/locked/1", b"call")
}

/// Features of the call, whose prompt has a part that other calls share.
fn features() -> CallFeatures {
    CallFeatures::new(fingerprint()).with_parts(&[part()])
}

fn part() -> PartId {
    "shared".parse().unwrap()
}

/// Fingerprint of another call.
fn other_fingerprint() -> RequestFingerprint {
    RequestFingerprint::new("/locked/1", b"other")
}

/// Tells a gateway that its failure domain has been evacuated for `age`.
fn evacuate(gateway: &Gateway, age: TimeSpan) {
    let record = EvacuationRecord {
        domain: "patan".parse().unwrap(),
        revision: 100,
        is_evacuated: true,
        age,
        era: StoreEra::default(),
    };
    let core = gateway.server.core();
    core.with_state(|state, now| state.adopt_evacuations(now, vec![record]));
}

/// Makes the change in the state of a gateway or in its store.
async fn make_change(gateway: &Gateway, store: &FakeStore, target: &FakeTarget, change: Change) {
    let core = gateway.server.core();
    let run = core.with_state(|state, _| state.balancer.targets()[0].run());
    let record_death =
        |state: &mut GatewayState, now: ClockTime, feature: FeatureId, name: &str| {
            let sign = state
                .facts
                .crash_sign(feature, &name.parse().unwrap(), run.1);
            state.facts.confirm_death(now, sign);
        };
    let (request, part) = (FeatureId::from(fingerprint()), FeatureId::of_part(&part()));
    match change {
        Change::Nothing => {}
        Change::Crashes => core.with_state(|state, now| {
            // The call was sent to the second target after it had crashed the first one.
            record_death(state, now, request, "e1");
            record_death(state, now, request, "e2");
            record_death(state, now, request.failed_trial(), "e2");
        }),
        Change::PartCrashes => {
            core.with_state(|state, now| record_death(state, now, part, "e1"));
            // Targets that die together count once.
            sleep(Duration::from_millis(150)).await;
            core.with_state(|state, now| record_death(state, now, part, "e2"));
        }
        Change::FailedTrials => core.with_state(|state, now| {
            for name in ["e1", "e2"] {
                record_death(state, now, part, name);
                record_death(state, now, part.failed_trial(), name);
            }
        }),
        Change::OtherSuspect => core.with_state(|state, now| {
            record_death(state, now, request, "e1");
            state.suspects.add_local(SuspectCall {
                fingerprint: other_fingerprint(),
                target: run.0.clone(),
            });
        }),
        Change::Leaving => core.mark_target_leaving(&run.0, run.1, "test"),
        Change::Evacuated => evacuate(gateway, TimeSpan::ZERO),
        Change::EvacuatedLong => evacuate(gateway, TimeSpan::from_secs(3)),
        Change::Gone => store.remove_target(target),
        Change::Backoff => {
            core.start_target_backoff(&run.0, run.1, &BackoffRequest::For(TimeSpan::from_secs(60)));
        }
        Change::Rate => {
            let notice = RateNotice::Limited(CallRate(2_000));
            core.record_target_rate(&run.0, run.1, &notice, core.now());
        }
        Change::Key => store.put_config_without(2, "key-1"),
        Change::Route => store.put_config_without(2, "/locked/"),
        Change::Stop => core.begin_stop(StopPlan::new(core.now(), TimeSpan::from_secs(3))),
    }
}

// Guards against sends that rely on what was known when the call was admitted or placed. First
// sends, retries, calls from the queue, calls placed by a coordinator and moves all pass this
// check.
#[tokio::test]
async fn each_change_forbids_the_sends_that_it_affects() {
    let crashed = "the same call, or a part of its prompt, crashed targets";
    let evacuated = "the failure domain of the target is evacuated";
    let suspected = "a part of its prompt may have crashed targets";
    // For each change: why it forbids a first send, and why it forbids resuming a generation.
    let cases = [
        (Change::Nothing, None, None),
        (Change::Crashes, Some(crashed), None),
        (Change::PartCrashes, Some(suspected), None),
        (Change::FailedTrials, Some(crashed), None),
        (
            Change::OtherSuspect,
            Some("another suspect call runs there"),
            Some("another suspect call runs there"),
        ),
        (Change::Leaving, Some("the target leaves"), None),
        (
            Change::Gone,
            Some("the target is gone"),
            Some("the target is gone"),
        ),
        (Change::Evacuated, Some(evacuated), None),
        (Change::EvacuatedLong, Some(evacuated), Some(evacuated)),
        (
            Change::Backoff,
            Some("the target wants nothing now"),
            Some("the target wants nothing now"),
        ),
        (
            Change::Rate,
            Some("no permit for the rate that the target names"),
            Some("no permit for the rate that the target names"),
        ),
        (
            Change::Key,
            Some("unknown_key by a newer configuration"),
            None,
        ),
        (
            Change::Route,
            Some("not_found by a newer configuration"),
            None,
        ),
        (
            Change::Stop,
            Some("it may take longer than this node still runs"),
            None,
        ),
    ];
    for (change, first, resumed) in cases {
        let (store, targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
        let core = gateway.server.core();
        let name = targets[0].name.parse().unwrap();
        make_change(&gateway, &store, &targets[0], change).await;
        until("the change is known", || {
            core.with_state(|state, _| match change {
                Change::Gone => state.balancer.targets().is_empty(),
                Change::Key | Change::Route => state.view.version() == ConfigVersion(2),
                _ => true,
            })
        })
        .await;
        // A generation may only be resumed on a target that leaves if it ran there.
        let moved = match change {
            Change::Leaving => first,
            _ => resumed,
        };
        let sends = [
            (false, false, first),
            (true, true, resumed),
            (true, false, moved),
        ];
        let (key, service) = (KEY, "app".parse().unwrap());
        let workspace = WorkspaceIdentity {
            name: "depot".parse().unwrap(),
            label: "depot".into(),
        };
        for (is_resume, is_source, expected) in sends {
            let check = SendCheck {
                features: &features(),
                is_trial: false,
                target: &name,
                admission: (!is_resume).then_some(AdmissionCheck {
                    route: ("shop.example", "/locked/1"),
                    key: Some(&key),
                    version: ConfigVersion(1),
                    service: &service,
                    workspace: Some(&workspace),
                }),
                times: CallTimes::new(core.now() + TimeSpan::from_secs(5)),
                is_resume,
                is_source,
                // Taken before the change.
                permit: Some(SendPermit::default()),
            };
            let result = core.with_state(|state, now| state.check_send(now, &check));
            let refusal = result.err().map(|refusal| refusal.to_string());
            assert_eq!(
                refusal.as_deref(),
                expected,
                "{change:?} {is_resume} {is_source}"
            );
        }
    }
}

// Guards against wrong retry advice in an error that states that the call did not run, and against
// such an error while another target may still get the call.
#[test]
fn only_refusals_that_hold_for_all_targets_reach_the_caller() {
    let span = TimeSpan::from_secs(5);
    let suspect = SendRefusal::CrashSuspect { retry_after: span };
    let crash = (ErrorKind::CrashSuspect, Some(span));
    assert_eq!(suspect.caller_error(), Some(crash));
    let revoked = SendRefusal::AdmissionRevoked(ErrorKind::UnknownKey);
    assert_eq!(revoked.caller_error(), Some((ErrorKind::UnknownKey, None)));
    let stopping = SendRefusal::Stopping.caller_error();
    assert_eq!(stopping.map(|(kind, _)| kind), Some(ErrorKind::Stopping));
    assert_eq!(
        SendRefusal::TargetUnavailable("the target leaves").caller_error(),
        None
    );
}

/// What holds for the engines of a move when its source is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveState {
    Good,
    LittleTime,
    SourceBackoff,
    SourceLeavesInBackoff,
    SourceAtRate,
    DestinationBackoff,
    DestinationLeaves,
    DestinationAtRate,
    DestinationGone,
}

// Guards against an order to stop a generation that would run to its end on an evacuated engine,
// although one of the two engines could not be asked to resume it.
#[tokio::test]
async fn a_generation_is_stopped_only_if_both_engines_could_resume_it() {
    let cases = [
        (MoveState::Good, true),
        (MoveState::LittleTime, false),
        (MoveState::SourceBackoff, false),
        // It would be lost with its engine.
        (MoveState::SourceLeavesInBackoff, true),
        (MoveState::SourceAtRate, false),
        (MoveState::DestinationBackoff, false),
        (MoveState::DestinationLeaves, false),
        (MoveState::DestinationAtRate, false),
        (MoveState::DestinationGone, false),
    ];
    for (state, expected) in cases {
        let (store, targets, gateway) = start_setup("pool", &[TargetMode::Answer]).await;
        let other = FakeTarget::start("pool", TargetMode::Answer).await;
        store.put_in(&other, "balaju", 0);
        let core = gateway.server.core();
        until("both engines are known", || {
            core.with_state(|state, _| state.balancer.targets().len() == 2)
        })
        .await;
        let source = targets[0].name.parse().unwrap();
        let destination = other.name.parse().unwrap();
        let run = IncarnationNumber(1);
        let back_off = |target| {
            let request = BackoffRequest::For(TimeSpan::from_secs(60));
            core.start_target_backoff(target, run, &request);
        };
        let use_up_rate = |target| {
            let notice = RateNotice::Limited(CallRate(2_000));
            core.record_target_rate(target, run, &notice, core.now());
            let grant = RateGrant::Wait {
                wait: TimeSpan::from_secs(4),
                waiting_nodes: 1,
            };
            core.with_state(|state, now| {
                let rate = state.balancer.rate_mut(target, run).unwrap();
                rate.end_request(now, grant);
            });
        };
        evacuate(&gateway, TimeSpan::ZERO);
        match state {
            MoveState::Good => {}
            MoveState::LittleTime => evacuate(&gateway, TimeSpan::from_secs(2)),
            MoveState::SourceBackoff => back_off(&source),
            MoveState::SourceLeavesInBackoff => {
                back_off(&source);
                core.mark_target_leaving(&source, run, "test");
            }
            MoveState::SourceAtRate => use_up_rate(&source),
            MoveState::DestinationBackoff => back_off(&destination),
            MoveState::DestinationLeaves => core.mark_target_leaving(&destination, run, "test"),
            MoveState::DestinationAtRate => use_up_rate(&destination),
            MoveState::DestinationGone => {
                store.remove_target(&other);
                until("it is gone", || {
                    core.with_state(|state, _| state.balancer.targets().len() == 1)
                })
                .await;
            }
        }
        let may_stop = core.with_state(|state, now| {
            state.may_stop_for_move(now, &features(), &source, &destination)
        });
        assert_eq!(may_stop, expected, "{state:?}");
    }
}
