use base::{ClockTime, NodeName, RanState, RevisionNumber, TimeSpan};

use super::former_nodes::FormerNodes;
use super::key_table::{KeyState, KeyTable};
use crate::{
    CallOutcome, ConsentStatus, ConsentTable, ConsentVerdict, InquiryAnswer, InquiryVerdict, KeyId,
    KeyInquiry, KeyPlacement, KeyVerdict, PriorUse, ProcessId, RequestHash,
};

/// Former node lists that are remembered. If the list changes more often within a key's lifetime,
/// the oldest is dropped, and this process is unsure about every key for one lifetime.
const FORMER_LIMIT: usize = 8;

/// Lifetime, witnesses and memory limits of caller-generated keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Time for which a key is remembered. It must exceed the sum of the time within which
    /// callers resend, the longest delay of a message (with all pauses of processes), and the time
    /// for which a replaced process may continue to run.
    pub lifetime: TimeSpan,
    /// Most keys remembered as home; the same number again is remembered as witness.
    pub keys: usize,
    /// Most bytes of retained answers.
    pub answer_bytes: usize,
    /// Number of witnesses of a key.
    pub witnesses: usize,
}

impl Default for KeyPolicy {
    fn default() -> Self {
        Self {
            lifetime: TimeSpan::from_secs(600),
            keys: 65_536,
            answer_bytes: 64 << 20,
            witnesses: 2,
        }
    }
}

/// State of one process in its three roles for caller-generated keys: home, witness and former
/// home.
///
/// A process runs a key only with the consent of a witness, and each witness consents to a single
/// process. A home that may lack memory of a key runs it only if every witness consents, or if the
/// former home hands the key over. So two processes never run the same key: the second one fails to
/// get the consent of the witness that consented to the first one.
///
/// ```
/// use base::{ClockTime, IncarnationNumber, RevisionNumber};
/// use calls::{ConsentStatus, KeyId, KeyPolicy, KeyRegistry, KeyVerdict, ProcessId, RequestHash};
/// let local = ProcessId::new("n1".parse().unwrap(), IncarnationNumber(1));
/// let names = vec!["n1".parse().unwrap()];
/// let revision = RevisionNumber::new(1, 1);
/// let policy = KeyPolicy::default();
/// let mut registry = KeyRegistry::new(local, ClockTime::ZERO, revision, names, policy);
/// let key = KeyId::new(&"tarn".parse().unwrap(), "order-17");
/// let request = RequestHash::new("POST", "/svc/mail", b"hello");
/// let later = ClockTime::new(600_000);
/// assert_eq!(registry.claim(later, key, request, ConsentStatus::NotAsked), KeyVerdict::Run);
/// assert_eq!(registry.claim(later, key, request, ConsentStatus::NotAsked), KeyVerdict::Join);
/// ```
#[derive(Clone, Debug)]
pub struct KeyRegistry {
    local: ProcessId,
    policy: KeyPolicy,
    started: ClockTime,
    revision: RevisionNumber,
    /// Names of the nodes declared by `revision`, sorted.
    names: Vec<NodeName>,
    former: Vec<FormerNodes>,
    /// Until then nothing is certain, because a former list was dropped for lack of room.
    uncertain_until: ClockTime,
    sealed: bool,
    table: KeyTable,
    consents: ConsentTable,
}

impl KeyRegistry {
    /// Creates the registry of the process `local`, which started at `started` and has the nodes
    /// `names` of `revision`.
    pub fn new(
        local: ProcessId,
        started: ClockTime,
        revision: RevisionNumber,
        mut names: Vec<NodeName>,
        policy: KeyPolicy,
    ) -> Self {
        names.sort_unstable();
        Self {
            local,
            policy,
            started,
            revision,
            names,
            former: Vec::new(),
            uncertain_until: ClockTime::ZERO,
            sealed: false,
            table: KeyTable::new(policy.keys, policy.answer_bytes, policy.lifetime),
            consents: ConsentTable::new(policy.keys, policy.lifetime),
        }
    }

    /// Home and witnesses of `key` by the revision in effect; `None` if it declares no nodes.
    pub fn placement(&self, key: KeyId) -> Option<KeyPlacement> {
        KeyPlacement::new(key, &self.names, self.policy.witnesses)
    }

    /// Number of keys remembered as home.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no key is remembered as home.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies the declared nodes of a newer revision; an older or equal revision is ignored.
    pub fn on_revision(
        &mut self,
        now: ClockTime,
        revision: RevisionNumber,
        mut names: Vec<NodeName>,
    ) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        names.sort_unstable();
        if names == self.names {
            return;
        }
        let replaced = std::mem::replace(&mut self.names, names);
        let own = &self.local.node;
        let unacked = replaced.iter().filter(|name| *name != own).cloned();
        self.former.push(FormerNodes {
            unacked: unacked.collect(),
            names: replaced,
            replaced_by: revision,
            acked_at: now,
        });
        if self.former.len() > FORMER_LIMIT {
            self.former.remove(0);
            self.uncertain_until = now + self.policy.lifetime;
        }
    }

    /// Handles the news that a peer has `revision` in effect and acts on no older node list any
    /// more.
    pub fn on_peer_revision(&mut self, now: ClockTime, node: &NodeName, revision: RevisionNumber) {
        for former in &mut self.former {
            if revision >= former.replaced_by {
                former.on_ack(now, node);
            }
        }
    }

    /// Handles the news that the platform deleted the VM of a node, which therefore never acts
    /// again.
    pub fn on_node_deleted(&mut self, now: ClockTime, node: &NodeName) {
        self.former
            .iter_mut()
            .for_each(|former| former.on_ack(now, node));
    }

    /// As witness: decides whether to consent that `home` runs `key`, and records the consent.
    pub fn consent(&mut self, now: ClockTime, key: KeyId, home: &ProcessId) -> ConsentVerdict {
        let own = &self.local.node;
        let is_witness = self.placement(key).is_some_and(|placement| {
            placement.home == home.node && placement.witnesses.contains(own)
        });
        if !is_witness {
            return ConsentVerdict::NotWitness;
        }
        // A home whose node list lacks this witness asks only others in an inquiry, and would not
        // learn of a consent given here.
        if !self.was_always_witness(now, key) {
            return ConsentVerdict::Unsure;
        }
        self.consents.consent(now, key, home)
    }

    /// As home: decides what to do with a request that carries `key`.
    pub fn claim(
        &mut self,
        now: ClockTime,
        key: KeyId,
        request: RequestHash,
        consent: ConsentStatus,
    ) -> KeyVerdict {
        self.expire(now);
        if let Some(verdict) = self.claim_known(key, request) {
            return verdict;
        }
        let Some(placement) = self.placement(key) else {
            return KeyVerdict::Full(RanState::Unknown);
        };
        if placement.home != self.local.node {
            return KeyVerdict::NotHome(placement.home);
        }
        if self.sealed {
            return KeyVerdict::Sealed(self.ran_state(now, key));
        }
        let consented = match &consent {
            ConsentStatus::NotAsked => placement.witnesses.is_empty(),
            ConsentStatus::Granted { by } => placement.witnesses.contains(by),
            ConsentStatus::Contested => true,
        };
        if !consented {
            return KeyVerdict::NeedConsent(placement.witnesses);
        }
        let contested = consent == ConsentStatus::Contested;
        let inquiry = self.needed_inquiry(now, key, contested, &placement);
        let Some(inquiry) = inquiry else {
            return match self.table.insert(now, key, KeyState::InFlight(request)) {
                true => KeyVerdict::Run,
                false => KeyVerdict::Full(RanState::No),
            };
        };
        let nodes = inquiry.nodes();
        match self
            .table
            .insert(now, key, KeyState::Inquiring(request, inquiry))
        {
            true => KeyVerdict::Inquire(nodes),
            false => KeyVerdict::Full(RanState::Unknown),
        }
    }

    /// Run state to report when the home refuses `key`: `No` only if this process's memory proves
    /// that the key did not run.
    pub fn ran_state(&self, now: ClockTime, key: KeyId) -> RanState {
        match self.table.get(key) {
            Some(KeyState::NotRun(_)) => RanState::No,
            None if self.was_only_home(now, key) => RanState::No,
            _ => RanState::Unknown,
        }
    }

    /// Answers another home's inquiry in the roles of witness and former home. In both roles the
    /// key is bound to the asker from now on, unless another process has it already.
    pub fn on_inquiry(&mut self, now: ClockTime, key: KeyId, asker: &ProcessId) -> InquiryAnswer {
        self.expire(now);
        InquiryAnswer {
            as_witness: self.answer_as_witness(now, key, asker),
            as_home: self.answer_as_home(now, key, asker),
        }
    }

    /// As home: records a node's answer to the inquiry about `key` and decides again.
    pub fn on_answer(
        &mut self,
        key: KeyId,
        from: &NodeName,
        answer: InquiryAnswer,
    ) -> InquiryVerdict {
        let Some(KeyState::Inquiring(_, inquiry)) = self.table.get_mut(key) else {
            return InquiryVerdict::Waiting;
        };
        inquiry.on_answer(from, answer);
        self.decide_inquiry(key, false)
    }

    /// As home: decides the inquiry about `key` on the answers received, as no more will come.
    pub fn on_inquiry_timeout(&mut self, key: KeyId) -> InquiryVerdict {
        self.decide_inquiry(key, true)
    }

    /// As home: records how the request under `key` ended.
    pub fn finish(&mut self, key: KeyId, outcome: CallOutcome) {
        self.table.finish(key, outcome);
    }

    /// Refuses to run further keys, for a planned stop; requests in flight continue and are waited
    /// for.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    /// Forgets keys whose lifetime is over.
    pub fn expire(&mut self, now: ClockTime) {
        self.table.expire(now);
        self.consents.expire(now);
        let lifetime = self.policy.lifetime;
        self.former
            .retain(|former| !former.unacked.is_empty() || now < former.acked_at + lifetime);
    }

    /// Decides from the state in the key table; `None` if the key is not in it.
    fn claim_known(&mut self, key: KeyId, request: RequestHash) -> Option<KeyVerdict> {
        let sealed = self.sealed;
        let state = self.table.get_mut(key)?;
        let verdict = match state {
            KeyState::HandedOver(owner) => KeyVerdict::HandedOver(owner.clone()),
            KeyState::Inquiring(first, _) | KeyState::InFlight(first) if *first == request => {
                KeyVerdict::Join
            }
            KeyState::Answered(first, answer) if *first == request => {
                KeyVerdict::Replay(answer.clone())
            }
            KeyState::Finished(first, ran) if *first == request => KeyVerdict::Finished(*ran),
            KeyState::NotRun(first) if *first == request && sealed => {
                KeyVerdict::Sealed(RanState::No)
            }
            KeyState::NotRun(first) if *first == request => {
                // The witness's earlier consent still binds the key to this process.
                *state = KeyState::InFlight(request);
                KeyVerdict::Run
            }
            _ => KeyVerdict::KeyReused,
        };
        Some(verdict)
    }

    /// The inquiry that must precede a run; `None` if this process's own memory is enough.
    fn needed_inquiry(
        &self,
        now: ClockTime,
        key: KeyId,
        contested: bool,
        placement: &KeyPlacement,
    ) -> Option<KeyInquiry> {
        let mut homes = Vec::new();
        let mut witnesses = placement.witnesses.clone();
        for nodes in &self.former {
            let Some(former) = KeyPlacement::new(key, &nodes.names, self.policy.witnesses) else {
                continue;
            };
            witnesses.extend(former.witnesses);
            homes.push(former.home);
        }
        for nodes in [&mut homes, &mut witnesses] {
            nodes.retain(|name| *name != self.local.node);
            nodes.sort_unstable();
            nodes.dedup();
        }
        let unsure = self.may_lack_memory(now) || contested;
        (unsure || !homes.is_empty()).then(|| KeyInquiry::new(homes, witnesses, unsure))
    }

    /// Decides the inquiry about `key`, and runs or forgets the key by the verdict.
    fn decide_inquiry(&mut self, key: KeyId, complete: bool) -> InquiryVerdict {
        let Some(state) = self.table.get_mut(key) else {
            return InquiryVerdict::Uncertain;
        };
        let KeyState::Inquiring(request, inquiry) = state else {
            return InquiryVerdict::Waiting;
        };
        let verdict = inquiry.verdict(complete);
        match verdict {
            InquiryVerdict::Run => *state = KeyState::InFlight(*request),
            InquiryVerdict::Uncertain => self.table.remove(key),
            InquiryVerdict::Waiting => {}
        }
        verdict
    }

    /// Returns whether keys may have been used that this process does not remember: by an earlier
    /// run of this node, or under a former node list that was dropped.
    fn may_lack_memory(&self, now: ClockTime) -> bool {
        now < self.started + self.policy.lifetime || now < self.uncertain_until
    }

    /// Returns whether this node was home of `key` by every former node list that is remembered, so
    /// that no other process can have been its home within its lifetime.
    fn was_only_home(&self, now: ClockTime, key: KeyId) -> bool {
        let own = &self.local.node;
        let count = self.policy.witnesses;
        let mut former = self.former.iter();
        let is_home = |names: &[NodeName]| {
            KeyPlacement::new(key, names, count).is_some_and(|placement| placement.home == *own)
        };
        !self.may_lack_memory(now) && former.all(|former| is_home(&former.names))
    }

    /// Returns whether this process has been a witness of `key` for a whole lifetime, by every node
    /// list that was in effect within it.
    fn was_always_witness(&self, now: ClockTime, key: KeyId) -> bool {
        let own = &self.local.node;
        let count = self.policy.witnesses;
        let is_witness = |names: &[NodeName]| {
            KeyPlacement::new(key, names, count)
                .is_some_and(|placement| placement.witnesses.contains(own))
        };
        let mut former = self.former.iter();
        let always = is_witness(&self.names) && former.all(|former| is_witness(&former.names));
        always && !self.may_lack_memory(now)
    }

    /// The answer to `asker`'s inquiry from this process's memory as a witness.
    fn answer_as_witness(&mut self, now: ClockTime, key: KeyId, asker: &ProcessId) -> PriorUse {
        let home = self.placement(key).map(|placement| placement.home);
        let sure = home.as_ref() == Some(&asker.node) && self.was_always_witness(now, key);
        // Consent is recorded in any case, so that this witness gives it to no other process later.
        match self.consents.answer_inquiry(now, key, asker) {
            PriorUse::Unseen if !sure => PriorUse::Unsure,
            prior_use => prior_use,
        }
    }

    /// The answer to `asker`'s inquiry from this process's memory as a home; hands the key over to
    /// the asker unless it was used or handed over to another process.
    fn answer_as_home(&mut self, now: ClockTime, key: KeyId, asker: &ProcessId) -> PriorUse {
        let sure = self.was_only_home(now, key);
        match self.table.get_mut(key) {
            Some(KeyState::HandedOver(owner)) if owner != asker => return PriorUse::Seen,
            Some(KeyState::HandedOver(_)) => {}
            Some(state @ KeyState::NotRun(_)) => *state = KeyState::HandedOver(asker.clone()),
            Some(_) => return PriorUse::Seen,
            None => {
                let handed_over = KeyState::HandedOver(asker.clone());
                if !self.table.insert(now, key, handed_over) {
                    return PriorUse::Unsure;
                }
            }
        }
        match sure {
            true => PriorUse::Unseen,
            false => PriorUse::Unsure,
        }
    }
}
