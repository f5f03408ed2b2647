//! The view against a naive version: full sets, no cache, no parts, no bounds.

use base::{ClockTime, NodeName};
use fleet::{
    FleetDeclaration, FleetPeer, KeySet, KeyText, PlatformHead, PlatformHeadAnswer, RevisionAction,
    RevisionSettings, RevisionStamp, RevisionView, accept, make_head,
};
use proptest::prelude::*;
use schema::fleet::{KeyPart, PullAnswer, PullRequest, RevisionDigest};

const POOL: usize = 12;

/// Keeps the whole newest valid set that it was ever offered.
#[derive(Default)]
struct NaiveView {
    accepted: Option<(RevisionStamp, FleetDeclaration)>,
}

impl NaiveView {
    fn offer(&mut self, stamp: RevisionStamp, set: &KeySet) {
        let Ok(declaration) = accept(set) else {
            return;
        };
        if self.accepted.as_ref().is_none_or(|(old, _)| *old < stamp) {
            self.accepted = Some((stamp, declaration));
        }
    }
}

/// Revisions of which every third is invalid and each shares most keys with the one before.
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

/// One offer: by the platform or a peer, the revision, and whether it is lost on the way.
type Offer = (Option<usize>, usize, bool);

struct Harness {
    pool: Vec<(RevisionStamp, KeySet)>,
    view: RevisionView,
    naive: NaiveView,
    now: u64,
    platform: usize,
}

impl Harness {
    fn new(seed: u64) -> Self {
        let settings = RevisionSettings::default();
        let mut view = RevisionView::new(name(0), "d0".parse().unwrap(), settings, seed);
        let peers = [1, 2, 3].map(|at| FleetPeer::new(name(at), "d0".parse().unwrap()));
        view.on_peers(ClockTime::ZERO, &peers);
        Self {
            pool: pool(),
            view,
            naive: NaiveView::default(),
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
                let mut actions = self.view.on_reader(now, false);
                actions.extend(self.view.on_reader(now, true));
                actions
            }
            Some(peer) => {
                let digest = digest_of(stamp);
                self.view.on_digest(now, &name(peer), &digest)
            }
        };
        self.carry_out(actions, at, is_lost);
        if from.is_some() && !is_lost {
            let set = self.pool[at].1.clone();
            self.naive.offer(stamp, &set);
        }
    }

    /// Answers every call or fails it.
    fn carry_out(&mut self, mut actions: Vec<RevisionAction>, at: usize, is_lost: bool) {
        let now = ClockTime::new(self.now);
        while let Some(action) = actions.pop() {
            let more = match action {
                RevisionAction::ReadHead { call, index: 0 } if !is_lost => {
                    // A starting node may read the platform by itself as well.
                    let (stamp, set) = &self.pool[self.platform];
                    self.naive.offer(*stamp, set);
                    let modify_index = stamp.revision.index;
                    let text = set.head().clone();
                    let head = Some(PlatformHead { modify_index, text });
                    let answer = PlatformHeadAnswer {
                        index: modify_index,
                        head,
                    };
                    self.view.on_head(now, call, &answer)
                }
                RevisionAction::ReadKeys { call, .. } if !is_lost => {
                    let keys = self.pool[self.platform].1.keys().to_vec();
                    self.view.on_keys(now, call, &keys)
                }
                RevisionAction::ReadHead { call, index: 0 }
                | RevisionAction::ReadKeys { call, .. } => self.view.on_platform_failed(now, call),
                RevisionAction::Pull { pull, request, .. } if !is_lost => {
                    let answer = self.answer(&request, at);
                    self.view.on_pull_answer(now, pull, Some(&answer))
                }
                RevisionAction::Pull { pull, .. } => self.view.on_pull_answer(now, pull, None),
                _ => Vec::new(),
            };
            actions.extend(more);
        }
    }

    /// What a peer answers that has the set asked for, in whole texts.
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

    /// Guards against caches, reused texts and remembered refusals that change the outcome.
    #[test]
    fn the_view_has_what_the_naive_version_has(
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
            let accepted = harness.view.accepted();
            let stamp = accepted.map(|accepted| accepted.stamp);
            prop_assert!(stamp >= newest);
            newest = stamp;
            // A peer whose answer was lost may be asked again and is then ahead of the naive one.
            let naive = harness.naive.accepted.as_ref();
            prop_assert!(stamp >= naive.map(|(stamp, _)| *stamp));
            if let Some(accepted) = accepted {
                let (_, set) = harness.pool.iter().find(|(known, _)| *known == accepted.stamp).unwrap();
                prop_assert_eq!(&*accepted.declaration, &accept(set).unwrap());
                prop_assert_eq!(&*accepted.set, set);
            }
        }
    }

    /// Guards against the same, exactly: without losses both versions agree after every offer.
    #[test]
    fn without_losses_both_versions_agree(
        offers in prop::collection::vec((prop::option::of(1_usize..4), 0..POOL), 1..24),
        seed in any::<u64>(),
    ) {
        let mut harness = Harness::new(seed);
        for (from, at) in offers {
            harness.offer((from, at, false));
            let accepted = harness.view.accepted();
            let accepted = accepted.map(|accepted| (accepted.stamp, (*accepted.declaration).clone()));
            prop_assert_eq!(&accepted, &harness.naive.accepted);
        }
    }
}
