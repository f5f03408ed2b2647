use base::{ClockTime, NodeName, RanState, RevisionNumber, TimeSpan};

use super::former_names::FormerNames;
use super::key_table::{KeyState, KeyTable};
use crate::{
    BodyHash, CallOutcome, ConsentLog, ConsentVerdict, InquiryAnswer, InquiryVerdict, KeyArrival,
    KeyClaim, KeyId, KeyInquiry, KeyRanking, KeyTrace, OwnerId,
};

/// Lists of declared nodes that are remembered; more changes within a lifetime make every
/// answer uncertain instead.
const FORMER_LIMIT: usize = 8;

/// Bounds of the memory for caller-generated keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Time for which a key is remembered. It must exceed the sum of the time within which
    /// callers resend, the longest delay of a message with all pauses, and the time for which
    /// a replaced process may go on.
    pub lifetime: TimeSpan,
    /// Keys remembered as home, and as many as witness.
    pub keys: usize,
    /// Bytes of retained answers.
    pub answer_bytes: usize,
    /// Witnesses of a key.
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

/// One process as home, witness and former home of caller-generated keys.
///
/// A process runs a key only with the consent of a witness. Each witness consents to a single
/// process. A home that may lack memory of a key runs it only if every witness consents, or if
/// the earlier home gives the key away. So two processes never run the same key: the second one
/// misses the consent of the witness that let the first one run.
///
/// ```
/// use base::{ClockTime, IncarnationNumber, RevisionNumber};
/// use calls::{BodyHash, KeyArrival, KeyClaim, KeyHome, KeyId, KeyPolicy, OwnerId};
/// let own = OwnerId::new("n1".parse().unwrap(), IncarnationNumber(1));
/// let names = vec!["n1".parse().unwrap()];
/// let revision = RevisionNumber::new(1, 1);
/// let mut home = KeyHome::new(own, ClockTime::ZERO, revision, names, KeyPolicy::default());
/// let key = KeyId::new(&"tarn".parse().unwrap(), "order-17");
/// let body = BodyHash::new("POST", "/svc/mail", b"hello");
/// let later = ClockTime::new(600_000);
/// assert_eq!(home.claim(later, key, body, KeyArrival::Direct), KeyClaim::Run);
/// assert_eq!(home.claim(later, key, body, KeyArrival::Direct), KeyClaim::Join);
/// ```
#[derive(Clone, Debug)]
pub struct KeyHome {
    own: OwnerId,
    policy: KeyPolicy,
    started: ClockTime,
    revision: RevisionNumber,
    names: Vec<NodeName>,
    former: Vec<FormerNames>,
    /// Former lists were dropped for lack of room; nothing is certain until then.
    uncertain_until: ClockTime,
    sealed: bool,
    table: KeyTable,
    log: ConsentLog,
}

impl KeyHome {
    /// Creates the state of a process that started at `started` with the nodes of a revision.
    pub fn new(
        own: OwnerId,
        started: ClockTime,
        revision: RevisionNumber,
        mut names: Vec<NodeName>,
        policy: KeyPolicy,
    ) -> Self {
        names.sort_unstable();
        Self {
            own,
            policy,
            started,
            revision,
            names,
            former: Vec::new(),
            uncertain_until: ClockTime::ZERO,
            sealed: false,
            table: KeyTable::new(policy.keys, policy.answer_bytes, policy.lifetime),
            log: ConsentLog::new(policy.keys, policy.lifetime),
        }
    }

    /// Home and witnesses of `key` by the revision in effect.
    pub fn ranking(&self, key: KeyId) -> Option<KeyRanking> {
        KeyRanking::new(key, &self.names, self.policy.witnesses)
    }

    /// Keys remembered as home.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Tells whether no key is remembered as home.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the declared nodes of a newer revision.
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
        let own = &self.own.node;
        let unacked = replaced.iter().filter(|name| *name != own).cloned();
        self.former.push(FormerNames {
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

    /// A peer has `revision` in effect; from now on it acts on no older list of nodes.
    pub fn on_peer_revision(&mut self, now: ClockTime, node: &NodeName, revision: RevisionNumber) {
        for former in &mut self.former {
            if revision >= former.replaced_by {
                former.on_ack(now, node);
            }
        }
    }

    /// The platform deleted the VM of a node, so that it never acts again.
    pub fn on_node_gone(&mut self, now: ClockTime, node: &NodeName) {
        self.former
            .iter_mut()
            .for_each(|former| former.on_ack(now, node));
    }

    /// As witness: may `home` run `key`?
    pub fn consent(&mut self, now: ClockTime, key: KeyId, home: &OwnerId) -> ConsentVerdict {
        let own = &self.own.node;
        let ranked = self
            .ranking(key)
            .is_some_and(|ranking| ranking.home == home.node && ranking.witnesses.contains(own));
        if !ranked {
            return ConsentVerdict::NotWitness;
        }
        // A home that lacks this witness in its view could ask others and learn nothing of it.
        if !self.is_sure_witness(now, key) {
            return ConsentVerdict::Unsure;
        }
        self.log.consent(now, key, home)
    }

    /// As home: decides on a request that arrived with `key`.
    pub fn claim(
        &mut self,
        now: ClockTime,
        key: KeyId,
        body: BodyHash,
        arrival: KeyArrival,
    ) -> KeyClaim {
        self.expire(now);
        if let Some(claim) = self.claim_known(key, body) {
            return claim;
        }
        let Some(ranking) = self.ranking(key) else {
            return KeyClaim::Full(RanState::Unknown);
        };
        if ranking.home != self.own.node {
            return KeyClaim::NotHome(ranking.home);
        }
        if self.sealed {
            return KeyClaim::Sealed(self.ran(now, key));
        }
        let consent = match &arrival {
            KeyArrival::Direct => ranking.witnesses.is_empty(),
            KeyArrival::Granted { by } => ranking.witnesses.contains(by),
            KeyArrival::Contested => true,
        };
        if !consent {
            return KeyClaim::NeedWitness(ranking.witnesses);
        }
        let contested = arrival == KeyArrival::Contested;
        let inquiry = self.inquiry(now, key, contested, &ranking);
        let Some(inquiry) = inquiry else {
            return match self.table.insert(now, key, KeyState::InFlight(body)) {
                true => KeyClaim::Run,
                false => KeyClaim::Full(RanState::No),
            };
        };
        let nodes = inquiry.nodes();
        match self
            .table
            .insert(now, key, KeyState::Inquiring(body, inquiry))
        {
            true => KeyClaim::Ask(nodes),
            false => KeyClaim::Full(RanState::Unknown),
        }
    }

    /// Whether `key` ran, for a refusal by its home: `No` only if own memory rules it out.
    pub fn ran(&self, now: ClockTime, key: KeyId) -> RanState {
        match self.table.get(key) {
            Some(KeyState::Released(_)) => RanState::No,
            None if self.is_sure(now, key) => RanState::No,
            _ => RanState::Unknown,
        }
    }

    /// Answers another home's inquiry as witness and as former home, and gives the key to it.
    pub fn on_inquiry(&mut self, now: ClockTime, key: KeyId, asker: &OwnerId) -> InquiryAnswer {
        self.expire(now);
        InquiryAnswer {
            witnessed: self.witness_trace(now, key, asker),
            ran: self.home_trace(now, key, asker),
        }
    }

    /// Takes an answer to the own inquiry.
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
        self.decide(key, false)
    }

    /// No more answers will come to the own inquiry.
    pub fn on_inquiry_timeout(&mut self, key: KeyId) -> InquiryVerdict {
        self.decide(key, true)
    }

    /// Records how the run of `key` ended.
    pub fn finish(&mut self, key: KeyId, outcome: CallOutcome) {
        self.table.finish(key, outcome);
    }

    /// Runs no new key from now on; a planned stop waits for those in flight.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    /// Forgets keys whose lifetime is over.
    pub fn expire(&mut self, now: ClockTime) {
        self.table.expire(now);
        self.log.expire(now);
        let lifetime = self.policy.lifetime;
        self.former
            .retain(|former| !former.unacked.is_empty() || now < former.acked_at + lifetime);
    }

    /// Decides by what the table holds; `None` if the key is new or was given up.
    fn claim_known(&mut self, key: KeyId, body: BodyHash) -> Option<KeyClaim> {
        let sealed = self.sealed;
        let state = self.table.get_mut(key)?;
        let claim = match state {
            KeyState::Given(owner) => KeyClaim::Given(owner.clone()),
            KeyState::Inquiring(first, _) | KeyState::InFlight(first) if *first == body => {
                KeyClaim::Join
            }
            KeyState::Answered(first, answer) if *first == body => KeyClaim::Replay(answer.clone()),
            KeyState::Finished(first, ran) if *first == body => KeyClaim::Finished(*ran),
            KeyState::Released(first) if *first == body && sealed => KeyClaim::Sealed(RanState::No),
            KeyState::Released(first) if *first == body => {
                // The witness that consented first still holds the key for this process.
                *state = KeyState::InFlight(body);
                KeyClaim::Run
            }
            _ => KeyClaim::KeyReused,
        };
        Some(claim)
    }

    /// The inquiry that must precede a run, or `None` if own memory is enough.
    fn inquiry(
        &self,
        now: ClockTime,
        key: KeyId,
        contested: bool,
        ranking: &KeyRanking,
    ) -> Option<KeyInquiry> {
        let mut homes = Vec::new();
        let mut witnesses = ranking.witnesses.clone();
        for former in &self.former {
            let Some(earlier) = KeyRanking::new(key, &former.names, self.policy.witnesses) else {
                continue;
            };
            witnesses.extend(earlier.witnesses);
            homes.push(earlier.home);
        }
        for nodes in [&mut homes, &mut witnesses] {
            nodes.retain(|name| *name != self.own.node);
            nodes.sort_unstable();
            nodes.dedup();
        }
        let unsure = self.is_new(now) || contested;
        (unsure || !homes.is_empty()).then(|| KeyInquiry::new(homes, witnesses, unsure))
    }

    fn decide(&mut self, key: KeyId, last: bool) -> InquiryVerdict {
        let Some(state) = self.table.get_mut(key) else {
            return InquiryVerdict::Uncertain;
        };
        let KeyState::Inquiring(body, inquiry) = state else {
            return InquiryVerdict::Waiting;
        };
        let verdict = inquiry.verdict(last);
        match verdict {
            InquiryVerdict::Run => *state = KeyState::InFlight(*body),
            InquiryVerdict::Uncertain => self.table.remove(key),
            InquiryVerdict::Waiting => {}
        }
        verdict
    }

    /// An earlier run of this node may have used keys that this one knows nothing of.
    fn is_new(&self, now: ClockTime) -> bool {
        now < self.started + self.policy.lifetime || now < self.uncertain_until
    }

    /// No other process can have been home of `key` within its lifetime.
    fn is_sure(&self, now: ClockTime, key: KeyId) -> bool {
        let own = &self.own.node;
        let count = self.policy.witnesses;
        let mut former = self.former.iter();
        let homed = |names: &[NodeName]| {
            KeyRanking::new(key, names, count).is_some_and(|at| at.home == *own)
        };
        !self.is_new(now) && former.all(|former| homed(&former.names))
    }

    /// This process has been a witness of `key` for its whole lifetime, by any list of nodes.
    fn is_sure_witness(&self, now: ClockTime, key: KeyId) -> bool {
        let own = &self.own.node;
        let count = self.policy.witnesses;
        let witnessed = |names: &[NodeName]| {
            KeyRanking::new(key, names, count).is_some_and(|at| at.witnesses.contains(own))
        };
        let mut former = self.former.iter();
        let always = witnessed(&self.names) && former.all(|former| witnessed(&former.names));
        always && !self.is_new(now)
    }

    fn witness_trace(&mut self, now: ClockTime, key: KeyId, asker: &OwnerId) -> KeyTrace {
        let home = self.ranking(key).map(|ranking| ranking.home);
        let sure = home.as_ref() == Some(&asker.node) && self.is_sure_witness(now, key);
        // Consent is noted in any case, so that no other process gets it from here later.
        match self.log.trace(now, key, asker) {
            KeyTrace::Unseen if !sure => KeyTrace::Unsure,
            trace => trace,
        }
    }

    fn home_trace(&mut self, now: ClockTime, key: KeyId, asker: &OwnerId) -> KeyTrace {
        let sure = self.is_sure(now, key);
        match self.table.get_mut(key) {
            Some(KeyState::Given(owner)) if owner != asker => return KeyTrace::Seen,
            Some(KeyState::Given(_)) => {}
            Some(state @ KeyState::Released(_)) => *state = KeyState::Given(asker.clone()),
            Some(_) => return KeyTrace::Seen,
            None => {
                let given = KeyState::Given(asker.clone());
                if !self.table.insert(now, key, given) {
                    return KeyTrace::Unsure;
                }
            }
        }
        match sure {
            true => KeyTrace::Unseen,
            false => KeyTrace::Unsure,
        }
    }
}
