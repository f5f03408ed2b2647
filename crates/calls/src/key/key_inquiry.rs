use base::NodeName;
use serde::{Deserialize, Serialize};

/// Answer of one node to the question whether a key was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PriorUse {
    /// The key was certainly not used through this node, and only the asker may use it from now on.
    Unseen,
    /// Another process than the asker may have used the key.
    Seen,
    /// The node lacks the memory to tell, for instance as it started less than a key's lifetime
    /// ago.
    Unsure,
}

/// Answer of one node to an inquiry about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InquiryAnswer {
    /// What the node knows as a witness of the key.
    #[serde(rename = "witnessed")]
    pub as_witness: PriorUse,
    /// What the node knows as a former home of the key.
    #[serde(rename = "ran")]
    pub as_home: PriorUse,
}

/// Result of an inquiry, as far as its answers allow one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InquiryVerdict {
    /// Answers are still missing.
    Waiting,
    /// No earlier run is possible: run the key, then report the outcome with `KeyRegistry::finish`.
    Run,
    /// An earlier run can't be ruled out: refuse the request with `KeyUncertain`.
    Uncertain,
}

/// Collects the answers of former homes and witnesses about one key, and decides whether it may
/// run.
#[derive(Clone, Debug)]
pub struct KeyInquiry {
    /// Former homes with their answers.
    homes: Vec<(NodeName, Option<PriorUse>)>,
    /// Witnesses with their answers.
    witnesses: Vec<(NodeName, Option<PriorUse>)>,
    /// Every witness must answer `Unseen`, because an earlier run of the home itself can't be
    /// asked.
    need_witnesses: bool,
}

impl KeyInquiry {
    /// Creates an inquiry that asks these former homes and witnesses.
    pub fn new(homes: Vec<NodeName>, witnesses: Vec<NodeName>, need_witnesses: bool) -> Self {
        Self {
            homes: homes.into_iter().map(|name| (name, None)).collect(),
            witnesses: witnesses.into_iter().map(|name| (name, None)).collect(),
            need_witnesses,
        }
    }

    /// The nodes to ask, each listed once.
    pub fn nodes(&self) -> Vec<NodeName> {
        let all = self.homes.iter().chain(&self.witnesses);
        let mut nodes: Vec<_> = all.map(|(name, _)| name.clone()).collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Records the answer of one node.
    pub fn on_answer(&mut self, from: &NodeName, answer: InquiryAnswer) {
        set_answer(&mut self.homes, from, answer.as_home);
        set_answer(&mut self.witnesses, from, answer.as_witness);
    }

    /// The verdict on the answers so far; `complete` says that no more answers will come.
    pub fn verdict(&self, complete: bool) -> InquiryVerdict {
        let mut all = self.homes.iter().chain(&self.witnesses);
        if all.any(|(_, prior_use)| *prior_use == Some(PriorUse::Seen)) {
            return InquiryVerdict::Uncertain;
        }
        let waiting = self.answers_missing();
        if !complete && waiting {
            return InquiryVerdict::Waiting;
        }
        // The answers of all witnesses make up for a former home that does not answer, because that
        // home ran no key without the consent of one of them.
        let witnessed = !self.witnesses.is_empty() && all_unseen(&self.witnesses);
        if witnessed || (!self.need_witnesses && all_unseen(&self.homes)) {
            return InquiryVerdict::Run;
        }
        InquiryVerdict::Uncertain
    }

    fn answers_missing(&self) -> bool {
        let mut all = self.homes.iter().chain(&self.witnesses);
        all.any(|(_, prior_use)| prior_use.is_none())
    }
}

fn all_unseen(nodes: &[(NodeName, Option<PriorUse>)]) -> bool {
    nodes
        .iter()
        .all(|(_, prior_use)| *prior_use == Some(PriorUse::Unseen))
}

fn set_answer(nodes: &mut [(NodeName, Option<PriorUse>)], from: &NodeName, prior_use: PriorUse) {
    for (name, slot) in nodes {
        if name == from {
            *slot = Some(prior_use);
        }
    }
}
