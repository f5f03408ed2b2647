use base::NodeName;
use serde::{Deserialize, Serialize};

/// What one node knows of earlier use of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyTrace {
    /// Certainly not used by way of this node, and never will be but by the asker.
    Unseen,
    /// Perhaps used by another process than the asker.
    Seen,
    /// The node has not been there for long enough to know.
    Unsure,
}

/// Answer to an inquiry about one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InquiryAnswer {
    /// What the node knows as a witness of the key.
    pub witnessed: KeyTrace,
    /// What the node knows as an earlier home of the key.
    pub ran: KeyTrace,
}

/// Outcome of an inquiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InquiryVerdict {
    /// Answers are missing.
    Waiting,
    /// No earlier run is possible: run it now; `finish` must follow.
    Run,
    /// An earlier run can't be ruled out: answer `KeyUncertain`.
    Uncertain,
}

/// Answers collected about one key.
#[derive(Clone, Debug)]
pub struct KeyInquiry {
    /// Earlier homes with their traces.
    homes: Vec<(NodeName, Option<KeyTrace>)>,
    /// Witnesses with their traces.
    witnesses: Vec<(NodeName, Option<KeyTrace>)>,
    /// The witnesses must all answer, since an earlier run of this home can't be asked.
    need_witnesses: bool,
}

impl KeyInquiry {
    /// Creates an inquiry among earlier homes and witnesses.
    pub fn new(homes: Vec<NodeName>, witnesses: Vec<NodeName>, need_witnesses: bool) -> Self {
        Self {
            homes: homes.into_iter().map(|name| (name, None)).collect(),
            witnesses: witnesses.into_iter().map(|name| (name, None)).collect(),
            need_witnesses,
        }
    }

    /// The nodes to ask, each once.
    pub fn nodes(&self) -> Vec<NodeName> {
        let all = self.homes.iter().chain(&self.witnesses);
        let mut nodes: Vec<_> = all.map(|(name, _)| name.clone()).collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Takes the answer of one node.
    pub fn on_answer(&mut self, from: &NodeName, answer: InquiryAnswer) {
        set_trace(&mut self.homes, from, answer.ran);
        set_trace(&mut self.witnesses, from, answer.witnessed);
    }

    /// The verdict on the answers so far; `last` if no more will come.
    pub fn verdict(&self, last: bool) -> InquiryVerdict {
        let mut all = self.homes.iter().chain(&self.witnesses);
        if all.any(|(_, trace)| *trace == Some(KeyTrace::Seen)) {
            return InquiryVerdict::Uncertain;
        }
        let waiting = self.nodes_missing();
        if !last && waiting {
            return InquiryVerdict::Waiting;
        }
        // An earlier home that does not answer is covered by its witnesses: it ran nothing
        // without the consent of one of them.
        let witnessed = !self.witnesses.is_empty() && all_unseen(&self.witnesses);
        if witnessed || (!self.need_witnesses && all_unseen(&self.homes)) {
            return InquiryVerdict::Run;
        }
        InquiryVerdict::Uncertain
    }

    fn nodes_missing(&self) -> bool {
        let mut all = self.homes.iter().chain(&self.witnesses);
        all.any(|(_, trace)| trace.is_none())
    }
}

fn all_unseen(nodes: &[(NodeName, Option<KeyTrace>)]) -> bool {
    nodes
        .iter()
        .all(|(_, trace)| *trace == Some(KeyTrace::Unseen))
}

fn set_trace(nodes: &mut [(NodeName, Option<KeyTrace>)], from: &NodeName, trace: KeyTrace) {
    for (name, slot) in nodes {
        if name == from {
            *slot = Some(trace);
        }
    }
}
