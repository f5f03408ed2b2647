//! Messages between nodes: encoding, size limits, and faulty senders.

use base::{ClockTime, NodeName, TimeSpan};
use fleet::{
    FleetPeer, KeySet, KeyText, PlatformHead, PlatformHeadAnswer, RevisionAction, RevisionSettings,
    RevisionStamp, RevisionSync, make_head, validate_set,
};
use schema::fleet::{FleetMessage, PullAnswer, PullRequest};

fn name(text: &str) -> NodeName {
    text.parse().unwrap()
}

fn sync_of(node: &str, settings: RevisionSettings) -> RevisionSync {
    let mut sync = RevisionSync::new(name(node), "d0".parse().unwrap(), settings, 3);
    let peers = ["n0", "n1", "n2"].map(|peer| FleetPeer::new(name(peer), "d0".parse().unwrap()));
    sync.on_peers(ClockTime::ZERO, &peers);
    sync
}

fn set_with(padding: &str) -> KeySet {
    let text =
        format!("[domain d0]\n[node n0]\ndomain = d0\npeer_address = 192.0.2.1:1\n; {padding}\n");
    let keys = vec![
        KeyText::new("a.ini", text),
        KeyText::new("b.ini", "[model quill]\n"),
        KeyText::new("empty.ini", ""),
    ];
    KeySet::new(make_head(1, &keys), keys)
}

/// Passes a set to `sync` as a reader would get it from the platform.
fn deliver_from_platform(sync: &mut RevisionSync, now: ClockTime, set: &KeySet, index: u64) {
    let mut actions = sync.on_reader_role(now, false);
    actions.extend(sync.on_reader_role(now, true));
    while let Some(action) = actions.pop() {
        match action {
            RevisionAction::ReadHead { call, index: 0, .. } => {
                let text = set.head().clone();
                let head = Some(PlatformHead {
                    modify_index: index,
                    text,
                });
                actions.extend(sync.on_head_answer(now, call, &PlatformHeadAnswer { index, head }));
            }
            RevisionAction::ReadKeys { call, .. } => {
                actions.extend(sync.on_keys_answer(now, call, set.keys()));
            }
            _ => {}
        }
    }
}

/// Answers the pulls of `sync` from `source` until none is left, after `damage` altered the
/// answers.
///
/// Returns for each pull the number of requested parts and the bytes of text in the answer.
fn pull_all(
    sync: &mut RevisionSync,
    now: ClockTime,
    source: &RevisionSync,
    damage: impl Fn(&mut PullAnswer),
) -> Vec<(usize, usize)> {
    let mut sizes = Vec::new();
    let mut actions = sync.on_digest(now, &name("n1"), &source.digest(now));
    while let Some(action) = actions.pop() {
        if let RevisionAction::Pull { to, pull, request } = action {
            if to != name("n1") {
                continue;
            }
            let mut answer = source.answer_pull(now, &request);
            damage(&mut answer);
            let bytes = answer.parts.iter().map(|part| part.text.len()).sum();
            sizes.push((request.parts.len(), bytes));
            actions.extend(sync.on_pull_answer(now, pull, Some(&answer)));
        }
    }
    sizes
}

/// Guards against messages that do not survive the encoding between nodes.
#[test]
fn messages_survive_their_encoding() {
    let mut source = sync_of("n1", RevisionSettings::default());
    deliver_from_platform(&mut source, ClockTime::ZERO, &set_with("x"), 4);
    let now = ClockTime::new(5);
    let stamp = source.accepted().unwrap().stamp;
    let request = PullRequest {
        stamp: Some(stamp.into()),
        parts: vec![schema::fleet::WantedPart {
            name: "head".into(),
            offset: 0,
        }],
    };
    let messages = [
        FleetMessage::Digest(source.digest(now)),
        FleetMessage::Pull(PullRequest {
            stamp: None,
            parts: Vec::new(),
        }),
        FleetMessage::Answer(source.answer_pull(now, &request)),
        FleetMessage::Pull(request),
    ];
    for message in messages {
        let bytes = rmp_serde::to_vec(&message).unwrap();
        assert_eq!(
            rmp_serde::from_slice::<FleetMessage>(&bytes).unwrap(),
            message
        );
    }
    // The digest is part of membership messages, which have a small byte budget.
    assert!(rmp_serde::to_vec(&source.digest(now)).unwrap().len() <= 40);
}

/// Guards against answers above the size limit, and against texts cut within a character.
#[test]
fn large_texts_are_sent_in_parts_of_limited_size() {
    let settings = RevisionSettings {
        answer_byte_limit: 1_000,
        ..RevisionSettings::default()
    };
    let mut source = sync_of("n1", settings);
    let set = set_with(&"ä€😀".repeat(1_000));
    deliver_from_platform(&mut source, ClockTime::ZERO, &set, 4);
    let mut sync = sync_of("n0", RevisionSettings::default());
    let sizes = pull_all(&mut sync, ClockTime::new(10), &source, |_| {});
    assert_eq!(*sync.accepted().unwrap().set, set);
    assert!(sizes.len() > 9);
    assert!(sizes.iter().all(|(_, bytes)| *bytes <= 1_000));
}

/// Guards against transferring the whole set for each small change.
#[test]
fn only_changed_keys_are_transferred() {
    let mut source = sync_of("n1", RevisionSettings::default());
    let mut sync = sync_of("n0", RevisionSettings::default());
    deliver_from_platform(
        &mut source,
        ClockTime::ZERO,
        &set_with(&"x".repeat(100_000)),
        4,
    );
    pull_all(&mut sync, ClockTime::new(10), &source, |_| {});
    let mut keys = source.accepted().unwrap().set.keys().to_vec();
    keys[1] = KeyText::new("b.ini", "[model quill]\nweight_bytes = 5\n");
    let set = KeySet::new(make_head(1, &keys), keys);
    deliver_from_platform(&mut source, ClockTime::new(20), &set, 9);
    let sizes = pull_all(&mut sync, ClockTime::new(30), &source, |_| {});
    assert_eq!(*sync.accepted().unwrap().set, set);
    let head = set.head().len();
    assert_eq!(sizes, [(1, head), (1, set.keys()[1].text.len())]);
}

/// Guards against a damaged set that takes effect, and against requesting it in a loop.
#[test]
fn damaged_answers_are_dropped_and_their_sender_is_avoided() {
    type Damage = fn(&mut PullAnswer);
    let damages: [Damage; 6] = [
        |answer| answer.parts[0].text.push('x'),
        |answer| answer.parts[0].offset += 1,
        |answer| answer.parts[0].total = 1 << 40,
        |answer| answer.parts[0].name = "other".into(),
        |answer| answer.parts.clear(),
        |answer| {
            let text = &mut answer.parts[0].text;
            *text = text
                .replace("epoch = 1", "epoch = 2")
                .replace("model", "medel");
        },
    ];
    let mut source = sync_of("n1", RevisionSettings::default());
    deliver_from_platform(&mut source, ClockTime::ZERO, &set_with("x"), 4);
    for damage in damages {
        let mut sync = sync_of("n0", RevisionSettings::default());
        let sizes = pull_all(&mut sync, ClockTime::new(10), &source, damage);
        assert!(sync.accepted().is_none());
        assert_eq!(sizes.len(), 1);
        // The sender is asked again later and may then send correct answers.
        let later = ClockTime::new(10) + TimeSpan::from_secs(3);
        pull_all(&mut sync, later, &source, |_| {});
        assert_eq!(sync.accepted().unwrap().set, source.accepted().unwrap().set);
    }
}

/// Guards against answers to calls made before a pause, and against answers without a call.
#[test]
fn answers_from_before_a_pause_are_ignored() {
    let mut sync = sync_of("n0", RevisionSettings::default());
    let actions = sync.on_reader_role(ClockTime::ZERO, true);
    let call = actions.iter().find_map(|action| match action {
        RevisionAction::ReadHead { call, .. } => Some(*call),
        _ => None,
    });
    sync.on_resume(ClockTime::new(60_000));
    let set = set_with("x");
    let head = PlatformHead {
        modify_index: 4,
        text: set.head().clone(),
    };
    let answer = PlatformHeadAnswer {
        index: 4,
        head: Some(head),
    };
    let now = ClockTime::new(60_001);
    assert!(sync.on_head_answer(now, call.unwrap(), &answer).is_empty());
    assert!(sync.on_keys_answer(now, 99, set.keys()).is_empty());
    assert!(sync.on_pull_answer(now, 99, None).is_empty());
    assert!(sync.status(now).incomplete.is_empty());
}

/// Guards against a split of the fleet by two heads with the same number, which a platform restored
/// from a backup can produce.
#[test]
fn of_two_sets_with_one_number_all_nodes_choose_the_same() {
    let sets = [set_with("x"), set_with("y")];
    let stamps = [0, 1].map(|at| RevisionStamp::of_head(sets[at].head(), 4).unwrap());
    let expected = stamps.into_iter().max().unwrap();
    for first in 0..2 {
        let mut source = sync_of("n1", RevisionSettings::default());
        deliver_from_platform(&mut source, ClockTime::ZERO, &sets[1 - first], 4);
        let mut sync = sync_of("n0", RevisionSettings::default());
        deliver_from_platform(&mut sync, ClockTime::ZERO, &sets[first], 4);
        pull_all(&mut sync, ClockTime::new(10), &source, |_| {});
        assert_eq!(sync.accepted().unwrap().stamp, expected);
    }
}

/// Guards against a larger index of an old epoch that supersedes a new epoch.
#[test]
fn a_new_epoch_supersedes_a_larger_index() {
    let mut sync = sync_of("n0", RevisionSettings::default());
    deliver_from_platform(&mut sync, ClockTime::ZERO, &set_with("x"), 900);
    let keys = set_with("y").keys().to_vec();
    let set = KeySet::new(make_head(2, &keys), keys);
    deliver_from_platform(&mut sync, ClockTime::new(10), &set, 3);
    assert_eq!(sync.accepted().unwrap().stamp.revision.to_string(), "2.3");
    assert_eq!(
        *sync.accepted().unwrap().declaration,
        validate_set(&set).unwrap()
    );
}
