//! Compares `RevisionSync` with a naive model that has no caches, partial transfers or limits.

use base::{ClockTime, NodeName};
use fleet::{
    FleetDeclaration, FleetPeer, KeySet, KeyText, PlatformHead, PlatformHeadAnswer, RevisionAction,
    RevisionSettings, RevisionStamp, RevisionSync, make_head, validate_set,
};
use proptest::prelude::*;
use schema::fleet::{KeyPart, PullAnswer, PullRequest, RevisionDigest};

const POOL: usize = 12;

/// Model that keeps the newest valid set that it was ever offered.
#[derive(Default)]
struct NaiveModel {
    accepted: Option<(RevisionStamp, FleetDeclaration)>,
}

impl NaiveModel {
    fn offer(&mut self, stamp: RevisionStamp, set: &KeySet) {
        let Ok(declaration) = validate_set(set) else {
            return;
        };
        if self.accepted.as_ref().is_none_or(|(old, _)| *old < stamp) {
            self.accepted = Some((stamp, declaration));
        }
    }
}

/// Returns revisions of which every third is invalid and each shares most keys with the previous
/// one.
fn pool() -> Vec<(RevisionStamp, KeySet)> {
    let entry = |at: usize| {
        let base = "[domain d0]\n[node n0]\ndomain = d0\npeer_address = 192.0.2.1:1\n";
        let broken = if at % 3 == 2 { "[domian d1]\n" } else { "" };
        let keys = vec![
            KeyText::new("a.ini", base),
            KeyText::new("b.ini", format!("[domain e{}]\n", at / 2)),
            KeyText::new("c.ini", format!("[domain f{}]\n{broken}", at / 3)),
        ];
        let set = KeySet::new(make_head(1 + at as u64 / 8, &keys), keys);
        let index = 100 + 10 * (at as u64 % 8);
        (RevisionStamp::of_head(set.head(), index).unwrap(), set)
    };
    (0..POOL).map(entry).collect()
}

fn name(at: usize) -> NodeName {
    format!("n{at}").parse().unwrap()
}

/// Who offers a revision (`None` is the platform), its index in the pool, and whether the offer is
/// lost on the way.
type Offer = (Option<usize>, usize, bool);

struct Harness {
    pool: Vec<(RevisionStamp, KeySet)>,
    sync: RevisionSync,
    model: NaiveModel,
    now: u64,
    platform: usize,
}

impl Harness {
    fn new(seed: u64) -> Self {
        let settings = RevisionSettings::default();
        let mut sync = RevisionSync::new(name(0), "d0".parse().unwrap(), settings, seed);
        let peers = [1, 2, 3].map(|at| FleetPeer::new(name(at), "d0".parse().unwrap()));
        sync.on_peers(ClockTime::ZERO, &peers);
        Self {
            pool: pool(),
            sync,
            model: NaiveModel::default(),
            now: 0,
            platform: 0,
        }
    }

    fn offer(&mut self, (from, at, is_lost): Offer) {
        self.now += 5_000;
        let now = ClockTime::new(self.now);
        let stamp = self.pool[at].0;
        let actions = match from {
            None => {
                self.platform = at;
                let mut actions = self.sync.on_reader_role(now, false);
                actions.extend(self.sync.on_reader_role(now, true));
                actions
            }
            Some(peer) => {
                let digest = digest_of(stamp);
                self.sync.on_digest(now, &name(peer), &digest)
            }
        };
        self.carry_out(actions, at, is_lost);
        if from.is_some() && !is_lost {
            let set = self.pool[at].1.clone();
            self.model.offer(stamp, &set);
        }
    }

    /// Answers every call, or fails every call if `is_lost`.
    fn carry_out(&mut self, mut actions: Vec<RevisionAction>, at: usize, is_lost: bool) {
        let now = ClockTime::new(self.now);
        while let Some(action) = actions.pop() {
            let more = match action {
                RevisionAction::ReadHead { call, index: 0, .. } if !is_lost => {
                    // A starting node may also read the platform although it is no reader.
                    let (stamp, set) = &self.pool[self.platform];
                    self.model.offer(*stamp, set);
                    let modify_index = stamp.revision.index;
                    let text = set.head().clone();
                    let head = Some(PlatformHead { modify_index, text });
                    let answer = PlatformHeadAnswer {
                        index: modify_index,
                        head,
                    };
                    self.sync.on_head_answer(now, call, &answer)
                }
                RevisionAction::ReadKeys { call, .. } if !is_lost => {
                    let keys = self.pool[self.platform].1.keys().to_vec();
                    self.sync.on_keys_answer(now, call, &keys)
                }
                RevisionAction::ReadHead { call, index: 0, .. }
                | RevisionAction::ReadKeys { call, .. } => self.sync.on_platform_failure(now, call),
                RevisionAction::Pull { pull, request, .. } if !is_lost => {
                    let answer = self.answer(&request, at);
                    self.sync.on_pull_answer(now, pull, Some(&answer))
                }
                RevisionAction::Pull { pull, .. } => self.sync.on_pull_answer(now, pull, None),
                _ => Vec::new(),
            };
            actions.extend(more);
        }
    }

    /// Returns the answer of a peer that has the requested set, with whole texts as parts.
    fn answer(&self, request: &PullRequest, at: usize) -> PullAnswer {
        let wanted = request.stamp.as_ref().map(RevisionStamp::from);
        let found = self.pool.iter().find(|(stamp, _)| Some(*stamp) == wanted);
        let parts = request.parts.iter().filter_map(|part| {
            let set = &found?.1;
            let text = match part.name.as_str() {
                "head" => set.head(),
                name => set.text(name)?,
            };
            Some(KeyPart {
                name: part.name.clone(),
                offset: 0,
                total: text.len() as u64,
                text: text.to_string(),
            })
        });
        PullAnswer {
            digest: digest_of(found.map_or(self.pool[at].0, |(stamp, _)| *stamp)),
            parts: parts.collect(),
        }
    }
}

fn digest_of(stamp: RevisionStamp) -> RevisionDigest {
    RevisionDigest {
        accepted: Some(stamp.into()),
        rejected: None,
        confirmed_age_ms: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against caches, reused texts and remembered rejections that change the outcome.
    #[test]
    fn revisions_are_at_least_those_of_the_model(
        offers in prop::collection::vec(
            (prop::option::of(1_usize..4), 0..POOL, prop::bool::weighted(0.2)),
            1..24,
        ),
        seed in any::<u64>(),
    ) {
        let mut harness = Harness::new(seed);
        let mut newest = None;
        for offer in offers {
            harness.offer(offer);
            let accepted = harness.sync.accepted();
            let stamp = accepted.map(|accepted| accepted.stamp);
            prop_assert!(stamp >= newest);
            newest = stamp;
            // A peer whose answer was lost may be asked again, which puts `sync` ahead of the
            // model.
            let model = harness.model.accepted.as_ref();
            prop_assert!(stamp >= model.map(|(stamp, _)| *stamp));
            if let Some(accepted) = accepted {
                let (_, set) = harness.pool.iter().find(|(known, _)| *known == accepted.stamp).unwrap();
                prop_assert_eq!(&*accepted.declaration, &validate_set(set).unwrap());
                prop_assert_eq!(&*accepted.set, set);
            }
        }
    }

    /// Guards against the same without losses, where the outcome must equal the model exactly.
    #[test]
    fn without_losses_the_outcome_equals_the_model(
        offers in prop::collection::vec((prop::option::of(1_usize..4), 0..POOL), 1..24),
        seed in any::<u64>(),
    ) {
        let mut harness = Harness::new(seed);
        for (from, at) in offers {
            harness.offer((from, at, false));
            let accepted = harness.sync.accepted();
            let accepted = accepted.map(|accepted| (accepted.stamp, (*accepted.declaration).clone()));
            prop_assert_eq!(&accepted, &harness.model.accepted);
        }
    }
}
