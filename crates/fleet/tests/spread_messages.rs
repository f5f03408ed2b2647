//! Messages between nodes: their form, their bounds, and faulty senders.

use base::{ClockTime, NodeName, TimeSpan};
use fleet::{
    FleetPeer, KeySet, KeyText, PlatformHead, PlatformHeadAnswer, RevisionAction, RevisionSettings,
    RevisionStamp, RevisionView, accept, make_head,
};
use schema::fleet::{FleetMessage, PullAnswer, PullRequest};

fn name(text: &str) -> NodeName {
    text.parse().unwrap()
}

fn view_of(node: &str, settings: RevisionSettings) -> RevisionView {
    let mut view = RevisionView::new(name(node), "d0".parse().unwrap(), settings, 3);
    let peers = ["n0", "n1", "n2"].map(|peer| FleetPeer::new(name(peer), "d0".parse().unwrap()));
    view.on_peers(ClockTime::ZERO, &peers);
    view
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

/// Shows a set to a reader as the platform would.
fn feed(view: &mut RevisionView, now: ClockTime, set: &KeySet, index: u64) {
    let mut actions = view.on_reader(now, false);
    actions.extend(view.on_reader(now, true));
    while let Some(action) = actions.pop() {
        match action {
            RevisionAction::ReadHead { call, index: 0 } => {
                let text = set.head().clone();
                let head = Some(PlatformHead {
                    modify_index: index,
                    text,
                });
                actions.extend(view.on_head(now, call, &PlatformHeadAnswer { index, head }));
            }
            RevisionAction::ReadKeys { call, .. } => {
                actions.extend(view.on_keys(now, call, set.keys()));
            }
            _ => {}
        }
    }
}

/// Carries pulls of `view` to `source` until none is left; returns the sizes of the answers.
fn pull_all(
    view: &mut RevisionView,
    now: ClockTime,
    source: &RevisionView,
    damage: impl Fn(&mut PullAnswer),
) -> Vec<(usize, usize)> {
    let mut sizes = Vec::new();
    let mut actions = view.on_digest(now, &name("n1"), &source.digest(now));
    while let Some(action) = actions.pop() {
        if let RevisionAction::Pull { to, pull, request } = action {
            if to != name("n1") {
                continue;
            }
            let mut answer = source.answer_pull(now, &request);
            damage(&mut answer);
            let bytes = answer.parts.iter().map(|part| part.text.len()).sum();
            sizes.push((request.parts.len(), bytes));
            actions.extend(view.on_pull_answer(now, pull, Some(&answer)));
        }
    }
    sizes
}

/// Guards against messages that the encoding between nodes can't carry.
#[test]
fn messages_survive_their_encoding() {
    let mut source = view_of("n1", RevisionSettings::default());
    feed(&mut source, ClockTime::ZERO, &set_with("x"), 4);
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
    // The digest travels with membership messages, whose budget is small.
    assert!(rmp_serde::to_vec(&source.digest(now)).unwrap().len() <= 40);
}

/// Guards against answers above the bound, and against texts cut within a character.
#[test]
fn large_texts_travel_in_bounded_parts() {
    let settings = RevisionSettings {
        answer_bytes: 1_000,
        ..RevisionSettings::default()
    };
    let mut source = view_of("n1", settings);
    let set = set_with(&"ä€😀".repeat(1_000));
    feed(&mut source, ClockTime::ZERO, &set, 4);
    let mut view = view_of("n0", RevisionSettings::default());
    let sizes = pull_all(&mut view, ClockTime::new(10), &source, |_| {});
    assert_eq!(*view.accepted().unwrap().set, set);
    assert!(sizes.len() > 9);
    assert!(sizes.iter().all(|(_, bytes)| *bytes <= 1_000));
}

/// Guards against a whole transfer for each small change.
#[test]
fn only_changed_keys_are_transferred() {
    let mut source = view_of("n1", RevisionSettings::default());
    let mut view = view_of("n0", RevisionSettings::default());
    feed(
        &mut source,
        ClockTime::ZERO,
        &set_with(&"x".repeat(100_000)),
        4,
    );
    pull_all(&mut view, ClockTime::new(10), &source, |_| {});
    let mut keys = source.accepted().unwrap().set.keys().to_vec();
    keys[1] = KeyText::new("b.ini", "[model quill]\nweight_bytes = 5\n");
    let set = KeySet::new(make_head(1, &keys), keys);
    feed(&mut source, ClockTime::new(20), &set, 9);
    let sizes = pull_all(&mut view, ClockTime::new(30), &source, |_| {});
    assert_eq!(*view.accepted().unwrap().set, set);
    let head = set.head().len();
    assert_eq!(sizes, [(1, head), (1, set.keys()[1].text.len())]);
}

/// Guards against a damaged set that takes effect, and against asking for it in a loop.
#[test]
fn damaged_answers_are_dropped_and_their_sender_left_alone() {
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
    let mut source = view_of("n1", RevisionSettings::default());
    feed(&mut source, ClockTime::ZERO, &set_with("x"), 4);
    for damage in damages {
        let mut view = view_of("n0", RevisionSettings::default());
        let sizes = pull_all(&mut view, ClockTime::new(10), &source, damage);
        assert!(view.accepted().is_none());
        assert_eq!(sizes.len(), 1);
        // The sender is asked again later and may be right by then.
        let later = ClockTime::new(10) + TimeSpan::from_secs(3);
        pull_all(&mut view, later, &source, |_| {});
        assert_eq!(view.accepted().unwrap().set, source.accepted().unwrap().set);
    }
}

/// Guards against answers to calls from before a pause, and against answers nobody asked for.
#[test]
fn answers_from_before_a_pause_are_ignored() {
    let mut view = view_of("n0", RevisionSettings::default());
    let actions = view.on_reader(ClockTime::ZERO, true);
    let call = actions.iter().find_map(|action| match action {
        RevisionAction::ReadHead { call, .. } => Some(*call),
        _ => None,
    });
    view.on_resume(ClockTime::new(60_000));
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
    assert!(view.on_head(now, call.unwrap(), &answer).is_empty());
    assert!(view.on_keys(now, 99, set.keys()).is_empty());
    assert!(view.on_pull_answer(now, 99, None).is_empty());
    assert!(view.status(now).incomplete.is_empty());
}

/// Guards against two heads with one number, after a restored platform, that split the fleet.
#[test]
fn two_sets_with_one_number_settle_on_the_same_one() {
    let sets = [set_with("x"), set_with("y")];
    let stamps = [0, 1].map(|at| RevisionStamp::of_head(sets[at].head(), 4).unwrap());
    let expected = stamps.into_iter().max().unwrap();
    for first in 0..2 {
        let mut source = view_of("n1", RevisionSettings::default());
        feed(&mut source, ClockTime::ZERO, &sets[1 - first], 4);
        let mut view = view_of("n0", RevisionSettings::default());
        feed(&mut view, ClockTime::ZERO, &sets[first], 4);
        pull_all(&mut view, ClockTime::new(10), &source, |_| {});
        assert_eq!(view.accepted().unwrap().stamp, expected);
    }
}

/// Guards against a new epoch that a larger index of the old one would beat.
#[test]
fn a_new_epoch_beats_a_larger_index() {
    let mut view = view_of("n0", RevisionSettings::default());
    feed(&mut view, ClockTime::ZERO, &set_with("x"), 900);
    let keys = set_with("y").keys().to_vec();
    let set = KeySet::new(make_head(2, &keys), keys);
    feed(&mut view, ClockTime::new(10), &set, 3);
    assert_eq!(view.accepted().unwrap().stamp.revision.to_string(), "2.3");
    assert_eq!(*view.accepted().unwrap().declaration, accept(&set).unwrap());
}
