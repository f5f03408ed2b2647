//! Verdicts on calls whose prompts share parts, by the deaths of the targets that ran them.

use base::{ClockTime, IncarnationNumber, PartId, TimeSpan};
use calls::RequestFingerprint;
use entry::{
    ANSWER_PROOF_TIME, CallFeatures, CallVerdict, DeathEvidence, FactState, FeatureId, OpenAttempt,
};

const NOW: ClockTime = ClockTime::new(10_000);
const RUN: IncarnationNumber = IncarnationNumber(1);
/// Time between two deaths that have nothing to do with each other.
const DEATH_GAP: TimeSpan = TimeSpan::from_secs(2);

/// Features of call `number`, whose prompt has the parts named by letters.
fn call(number: u32, parts: &str) -> CallFeatures {
    let parts: Vec<PartId> = parts
        .chars()
        .map(|part| part.to_string().parse().unwrap())
        .collect();
    let fingerprint = RequestFingerprint::new("/plans", &number.to_le_bytes());
    CallFeatures::new(fingerprint).with_parts(&parts)
}

/// An attempt at a call on the target `target`.
fn attempt(features: &CallFeatures, target: u32) -> OpenAttempt {
    OpenAttempt {
        features: features.clone(),
        trial_features: Vec::new(),
        earlier_deaths: Vec::new(),
        target: format!("e{target}").parse().unwrap(),
        incarnation: RUN,
        earlier: 0,
        address: "127.0.0.1:9101".parse().unwrap(),
        began_at: None,
        has_broken_off: false,
    }
}

fn record_death(state: &mut FactState, now: ClockTime, attempts: &[OpenAttempt]) {
    for attempt in attempts {
        state.record_crash(now, attempt, DeathEvidence::ProcessEnded);
    }
}

/// Records deaths of different targets, each with a call of its own whose prompt has these parts.
fn record_deaths(state: &mut FactState, prompts: &[&str]) -> ClockTime {
    let mut now = NOW;
    for (number, parts) in (0_u32..).zip(prompts) {
        now += DEATH_GAP;
        record_death(state, now, &[attempt(&call(number, parts), number)]);
    }
    now
}

/// Records that a trial of a call crashed its target.
fn fail_trial(state: &mut FactState, now: ClockTime, features: &CallFeatures, target: u32) {
    let mut trial = attempt(features, target);
    trial.trial_features = state.suspected_features(now, features);
    assert!(!trial.trial_features.is_empty());
    record_death(state, now, &[trial]);
}

/// Records that two trials of calls with these parts crashed their targets, after `now`.
fn fail_trials(state: &mut FactState, now: ClockTime, parts: &str, first_target: u32) -> ClockTime {
    let later = [now + DEATH_GAP, now + DEATH_GAP * 2];
    for (target, now) in (first_target..).zip(later) {
        fail_trial(state, now, &call(target, parts), target);
    }
    later[1]
}

fn part(letter: &str) -> FeatureId {
    FeatureId::of_part(&letter.parse().unwrap())
}

fn is_refused(state: &FactState, now: ClockTime, parts: &str) -> bool {
    let verdict = state.verdict(now, &call(99, parts));
    matches!(verdict, CallVerdict::Refused { .. })
}

// Guards against blaming a popular part for a single death, and against letting calls with a part
// run side by side after two.
#[test]
fn calls_with_a_part_run_one_at_a_time_after_two_deaths() {
    let mut state = FactState::default();
    let now = record_deaths(&mut state, &["p"]);
    assert_eq!(
        state.verdict(now, &call(99, "p")),
        CallVerdict::Unrestricted
    );
    let now = record_deaths(&mut state, &["p", "p"]);
    let verdict = CallVerdict::Trial { feature: part("p") };
    assert_eq!(state.verdict(now, &call(99, "p")), verdict);
    assert!(state.is_dangerous(now, &call(99, "p")));
    assert_eq!(
        state.verdict(now, &call(99, "q")),
        CallVerdict::Unrestricted
    );
}

// Guards against refusing calls with a part before a trial has crashed its target, and against
// letting them run after that.
#[test]
fn two_failed_trials_refuse_calls_with_the_part_until_the_next_one() {
    let mut state = FactState::default();
    let mut now = record_deaths(&mut state, &["p"; 5]);
    assert!(!is_refused(&state, now, "p"));
    now += DEATH_GAP;
    fail_trial(&mut state, now, &call(9, "p"), 9);
    assert!(!is_refused(&state, now, "p"));
    let mut pauses = Vec::new();
    for target in [10, 11] {
        now += DEATH_GAP;
        fail_trial(&mut state, now, &call(target, "p"), target);
        let CallVerdict::Refused {
            retry_after,
            feature,
        } = state.verdict(now, &call(99, "p"))
        else {
            panic!("a failed trial refuses the part");
        };
        assert_eq!(feature, part("p"));
        pauses.push(retry_after);
        now += retry_after;
        assert_eq!(
            state.verdict(now, &call(99, "p")),
            CallVerdict::Trial { feature: part("p") }
        );
    }
    assert!(pauses[0] < pauses[1]);
}

/// The facts of a node that started a second before the first death and knows none of before.
fn started_state() -> FactState {
    FactState::started_at(NOW)
}

// Guards against spending as many targets on a deadly part after each loss of all nodes as before it.
#[test]
fn a_node_without_earlier_facts_refuses_a_part_after_one_death_and_one_trial() {
    let mut state = started_state();
    let mut now = record_deaths(&mut state, &["ap"]);
    // Sound calls share the other part.
    state.record_completion(now, call(50, "a").iter(), now);
    let verdict = CallVerdict::Trial { feature: part("p") };
    assert_eq!(state.verdict(now, &call(99, "ap")), verdict);
    assert!(state.is_dangerous(now, &call(99, "ap")));
    assert_eq!(
        state.verdict(now, &call(98, "a")),
        CallVerdict::Unrestricted
    );
    now += DEATH_GAP;
    fail_trial(&mut state, now, &call(9, "ap"), 9);
    let CallVerdict::Refused { retry_after, .. } = state.verdict(now, &call(99, "ap")) else {
        panic!("a failed trial refuses the part");
    };
    assert_eq!(
        state.verdict(now, &call(98, "a")),
        CallVerdict::Unrestricted
    );
    now += retry_after;
    assert_eq!(state.verdict(now, &call(99, "ap")), verdict);
}

// Guards against calls of a sound part that wait for one another, or are recalled, because the target of one
// of them died of another cause after all nodes were lost.
#[yare::parameterized(
    another_call_waited_there = { &["s", "p"], false, TimeSpan::from_secs(60) },
    an_answer_showed_the_part_sound = { &["p"], true, TimeSpan::from_secs(60) },
    another_target_died = { &["p"], false, TimeSpan::from_secs(1) },
)]
fn a_single_death_is_doubted(prompts: &[&str], is_proven: bool, other_after: TimeSpan) {
    let mut state = started_state();
    if is_proven {
        state.record_proof(NOW, call(50, "p").parts().iter().copied());
    }
    let mut now = NOW + DEATH_GAP;
    let calls = (0_u32..).zip(prompts);
    let attempts: Vec<_> = calls
        .map(|(number, parts)| attempt(&call(number, parts), 1))
        .collect();
    record_death(&mut state, now, &attempts);
    now += other_after;
    record_death(&mut state, now, &[attempt(&call(40, "q"), 2)]);
    assert_eq!(
        state.verdict(now, &call(99, "p")),
        CallVerdict::Unrestricted
    );
    assert!(!state.is_dangerous(now, &call(99, "p")));
}

// Guards against a part that is refused because the target of its trial died among others.
#[test]
fn a_trial_among_other_deaths_refuses_nothing_by_itself() {
    let mut state = started_state();
    let mut now = record_deaths(&mut state, &["p"]);
    now += DEATH_GAP;
    fail_trial(&mut state, now, &call(9, "p"), 9);
    assert!(is_refused(&state, now, "p"));
    record_death(&mut state, now, &[attempt(&call(40, "q"), 2)]);
    assert!(!is_refused(&state, now, "p"));
}

// Guards against a node that blames for single deaths for good, or although its peers know what it does not.
#[test]
fn a_node_that_knows_all_facts_blames_no_part_for_one_death() {
    let mut state = started_state();
    let now = record_deaths(&mut state, &["p"]);
    assert!(matches!(
        state.verdict(now, &call(99, "p")),
        CallVerdict::Trial { .. }
    ));
    let mut informed = state.clone();
    informed.complete_within(now, TimeSpan::ZERO);
    assert_eq!(
        informed.verdict(now, &call(99, "p")),
        CallVerdict::Unrestricted
    );
    let later = NOW + TimeSpan::from_secs(599);
    assert!(matches!(
        state.verdict(later, &call(99, "p")),
        CallVerdict::Trial { .. }
    ));
    let later = NOW + TimeSpan::from_secs(600);
    assert_eq!(
        state.verdict(later, &call(99, "p")),
        CallVerdict::Unrestricted
    );
}

// Guards against refusing sound calls for a part that stood beside the deadly one in each call that
// crashed its target.
#[test]
fn a_sound_part_beside_a_deadly_one_is_not_refused() {
    let mut state = FactState::default();
    let mut now = record_deaths(&mut state, &["abp"; 3]);
    assert!(state.is_dangerous(now, &call(99, "abp")));
    assert!(!state.is_dangerous(now, &call(99, "ab")));
    now = fail_trials(&mut state, now, "abp", 50);
    for (parts, expected) in [("abp", true), ("xp", false), ("ab", false), ("a", false)] {
        assert_eq!(is_refused(&state, now, parts), expected, "{parts}");
    }
    // A sound call with the other parts answers.
    state.record_completion(now, call(60, "ab").iter(), now);
    for (parts, expected) in [("abp", true), ("xp", true), ("ab", false)] {
        assert_eq!(is_refused(&state, now, parts), expected, "{parts}");
    }
    assert_eq!(
        state.verdict(now, &call(99, "ab")),
        CallVerdict::Unrestricted
    );
}

// Guards against sparing a deadly part that calls with different other parts have.
#[test]
fn a_deadly_part_is_found_behind_different_parts() {
    let mut state = FactState::default();
    let mut now = record_deaths(&mut state, &["ap", "bp"]);
    now = fail_trials(&mut state, now, "cp", 50);
    for (parts, expected) in [("p", true), ("dp", true), ("ab", false), ("c", false)] {
        assert_eq!(is_refused(&state, now, parts), expected, "{parts}");
    }
}

// Guards against taking one deadly part for the cause of the crashes of another one.
#[test]
fn two_deadly_parts_are_told_apart() {
    let mut state = FactState::default();
    let mut now = record_deaths(&mut state, &["ap", "bq", "ap", "bq"]);
    for (target, parts) in [(50, "ap"), (60, "bq")] {
        now = fail_trials(&mut state, now, parts, target);
    }
    for (parts, expected) in [("ap", true), ("bq", true), ("a", false), ("b", false)] {
        assert_eq!(is_refused(&state, now, parts), expected, "{parts}");
    }
}

// Guards against blaming a popular part because several targets died of one cause, such as the loss
// of a rack.
#[test]
fn targets_that_die_together_count_once() {
    let mut state = FactState::default();
    for target in 0..6 {
        let now = NOW + TimeSpan::new(u64::from(target) * 5);
        record_death(&mut state, now, &[attempt(&call(target, "a"), target)]);
    }
    let now = NOW + TimeSpan::new(50);
    assert_eq!(
        state.verdict(now, &call(99, "a")),
        CallVerdict::Unrestricted
    );
    assert!(!state.is_dangerous(now, &call(99, "a")));
}

// Guards against blaming parts of calls that had been answering for a while when their target died.
#[test]
fn parts_of_answers_in_progress_are_not_blamed() {
    let mut state = FactState::default();
    let mut now = NOW;
    for target in 0..6 {
        now += DEATH_GAP;
        let mut open = attempt(&call(target, "a"), target);
        let age = ANSWER_PROOF_TIME * u64::from(target % 2);
        open.began_at = Some(ClockTime::new(now.as_millis() - age.as_millis()));
        record_death(&mut state, now, &[open]);
    }
    // Three of the answers had just begun.
    let blamed = state.crashed_targets(now, part("a"));
    assert_eq!(blamed.len(), 3);
}

// Guards against blaming parts for targets that vanished with their hosts, or with a link.
#[test]
fn parts_are_not_blamed_for_targets_that_vanished() {
    let open = attempt(&call(1, "a"), 1);
    let signs = open.crash_signs(NOW, DeathEvidence::Vanished);
    let prints: Vec<_> = signs.iter().map(|sign| sign.print).collect();
    assert_eq!(prints, [FeatureId::from(open.features.request())]);
}

// Guards against blaming a part for deaths among several that have another cause, and against never
// finding it while other targets die all the time.
#[test]
fn deaths_beside_those_of_other_targets_count_half() {
    let mut state = FactState::default();
    let mut now = NOW;
    for target in 1..5 {
        assert_eq!(
            state.verdict(now, &call(99, "p")),
            CallVerdict::Unrestricted
        );
        now += DEATH_GAP;
        let other = attempt(&call(target + 10, "x"), target + 10);
        let features = call(target, "p");
        record_death(&mut state, now, &[attempt(&features, target), other]);
    }
    let verdict = CallVerdict::Trial { feature: part("p") };
    assert_eq!(state.verdict(now, &call(99, "p")), verdict);
}

// Guards against overlooking that a target died on which all calls had answered for a while.
#[test]
fn a_death_beside_that_of_answers_in_progress_does_not_count() {
    let mut state = FactState::default();
    let mut now = NOW;
    for target in 1..4 {
        now += DEATH_GAP;
        let mut other = attempt(&call(target + 10, "x"), target + 10);
        other.began_at = Some(ClockTime::ZERO);
        record_death(
            &mut state,
            now,
            &[attempt(&call(target, "p"), target), other],
        );
        assert_eq!(
            state.verdict(now, &call(99, "p")),
            CallVerdict::Unrestricted
        );
    }
}

// Guards against convicting a sound part by a trial that also tested the deadly part, after the sound
// one was open on a target that died of something else.
#[test]
fn a_trial_that_tested_several_parts_convicts_only_calls_with_all_of_them() {
    let mut state = FactState::default();
    let mut now = record_deaths(&mut state, &["ap"; 2]);
    now = fail_trials(&mut state, now, "ap", 50);
    now += DEATH_GAP;
    record_death(&mut state, now, &[attempt(&call(60, "a"), 60)]);
    let verdict = CallVerdict::Trial { feature: part("a") };
    assert_eq!(state.verdict(now, &call(99, "a")), verdict);
    assert!(is_refused(&state, now, "ap"));
}

// Guards against convicting a sound part by a trial of a call that has the deadly part as well, while
// that is blamed for less, as a target with the sound part alone died of something else.
#[test]
fn a_trial_tests_all_parts_that_are_blamed_for_a_death() {
    let mut state = FactState::default();
    let mut now = NOW + DEATH_GAP;
    record_death(&mut state, now, &[attempt(&call(1, "ap"), 1)]);
    now += DEATH_GAP;
    record_death(&mut state, now, &[attempt(&call(2, "a"), 2)]);
    now = fail_trials(&mut state, now, "ap", 3);
    assert!(is_refused(&state, now, "ap"));
    assert!(!is_refused(&state, now, "a"));
}

// Guards against clearing a part by the answer to a call that began before the part crashed targets,
// and against clearing it on one node only.
#[test]
fn an_answer_that_began_after_the_deaths_clears_a_part_for_all_nodes() {
    let (mut state, mut peer) = (FactState::default(), FactState::default());
    let mut now = record_deaths(&mut state, &["p"; 2]);
    now = fail_trials(&mut state, now, "p", 50);
    let features = call(60, "p");
    state.record_completion(now + DEATH_GAP, features.iter(), NOW);
    assert!(is_refused(&state, now, "p"));
    let later = now + DEATH_GAP;
    state.record_completion(later, features.iter(), later);
    let verdict = CallVerdict::Unrestricted;
    assert_eq!(state.verdict(later, &call(99, "p")), verdict);
    for fact in state.set.most_valuable(later, 100) {
        peer.set.merge(later, fact);
    }
    assert_eq!(peer.verdict(later, &call(99, "p")), verdict);
}

// Guards against a deadly part that gets lost among the signs of calls that were open beside it, and
// among the parts of a caller who uses new ones all the time.
#[test]
fn a_deadly_part_is_found_among_hundreds_of_open_calls() {
    /// Calls on each target that dies: most had answered for a while.
    const OPEN_CALLS: u32 = 200;
    let mut state = FactState::default();
    let (mut now, mut number) = (NOW, 0);
    for target in 0..6 {
        now += DEATH_GAP;
        let mut attempts: Vec<_> = (0..OPEN_CALLS)
            .map(|place| {
                number += 1;
                let parts = [format!("n{number}"), format!("m{number}")];
                let parts = parts.map(|part| part.parse().unwrap());
                let mut open = attempt(&call(number, "").with_parts(&parts), target);
                open.began_at = (place % 10 != 0).then_some(NOW);
                open
            })
            .collect();
        if target % 2 == 0 {
            attempts.push(attempt(&call(number + 10_000, "p"), target));
        }
        record_death(&mut state, now, &attempts);
    }
    assert!(state.set.len() <= 512);
    let verdict = CallVerdict::Trial { feature: part("p") };
    assert_eq!(state.verdict(now, &call(99, "p")), verdict);
    assert_eq!(state.crashed_targets(now, part("p")).len(), 3);
}

// Guards against facts that nodes of the last build can't read, or that they would take for others.
#[test]
fn signs_of_parts_are_encoded_like_those_of_requests() {
    let mut state = FactState::default();
    record_death(&mut state, NOW, &[attempt(&call(7, "p"), 1)]);
    for sent in state.set.most_valuable(NOW, 10) {
        let bytes = rmp_serde::to_vec(&sent.fact).unwrap();
        // What the last build expects: a variant with the fingerprint as 16 numbers, the target, its
        // incarnation and the number of earlier deaths.
        type LastBuild = std::collections::BTreeMap<String, ([u8; 16], String, u64, u16)>;
        let decoded: LastBuild = rmp_serde::from_slice(&bytes).unwrap();
        let (print, target, incarnation, earlier) = &decoded["Crashed"];
        assert_eq!((target.as_str(), *incarnation, *earlier), ("e1", 1, 0));
        let request = call(7, "").request().to_bytes();
        let is_part = FeatureId::of_part(&"p".parse().unwrap()).to_string();
        let text: String = print.iter().map(|byte| format!("{byte:02x}")).collect();
        assert!(*print == request || text == is_part);
    }
    assert_eq!(state.set.len(), 2);
}
