//! Tests of caller-generated keys: two processes never run the same key.

mod seeded;

use base::{ClockTime, IncarnationNumber, NodeName, RanState, RevisionNumber, TimeSpan};
use calls::{
    CallOutcome, ConsentStatus, ConsentVerdict, InquiryAnswer, InquiryVerdict, KeyId, KeyPlacement,
    KeyPolicy, KeyRegistry, KeyVerdict, PriorUse, ProcessId, RequestHash,
};
use proptest::prelude::*;

const LIFETIME: TimeSpan = TimeSpan::from_secs(600);
/// Callers resend for this long, messages are delayed for at most as long, and a replaced process
/// ends within it; the sum of the three is the lifetime.
const THIRD: TimeSpan = TimeSpan::from_secs(200);
const START: ClockTime = ClockTime::new(10_000_000);

fn policy() -> KeyPolicy {
    KeyPolicy {
        lifetime: LIFETIME,
        keys: 3,
        ..KeyPolicy::default()
    }
}

fn names(count: usize) -> Vec<NodeName> {
    (0..count)
        .map(|at| format!("n{at}").parse().unwrap())
        .collect()
}

fn key(text: &str) -> KeyId {
    KeyId::new(&"tarn".parse().unwrap(), text)
}

fn request(text: &str) -> RequestHash {
    RequestHash::new("POST", "/svc/mail", text.as_bytes())
}

fn registry(name: &NodeName, run: u64, started: ClockTime) -> KeyRegistry {
    let local = ProcessId::new(name.clone(), IncarnationNumber(run));
    KeyRegistry::new(
        local,
        started,
        RevisionNumber::new(1, 1),
        names(4),
        policy(),
    )
}

fn granted(placement: &KeyPlacement) -> ConsentStatus {
    ConsentStatus::Granted {
        by: placement.witnesses[0].clone(),
    }
}

/// The home and the two witnesses of one key.
struct KeyTrio {
    key: KeyId,
    placement: KeyPlacement,
    home: KeyRegistry,
    home_id: ProcessId,
    witnesses: Vec<KeyRegistry>,
}

/// Creates a home that started at `home_started` and two witnesses that started long before.
fn trio(home_started: ClockTime) -> KeyTrio {
    let key = key("order-17");
    let placement = KeyPlacement::new(key, &names(4), 2).unwrap();
    let old = |name: &NodeName| registry(name, 1, ClockTime::ZERO);
    KeyTrio {
        key,
        home: registry(&placement.home, 2, home_started),
        home_id: ProcessId::new(placement.home.clone(), IncarnationNumber(2)),
        witnesses: placement.witnesses.iter().map(old).collect(),
        placement,
    }
}

/// Sends the home's inquiry to both witnesses and returns the last verdict.
fn inquire(trio: &mut KeyTrio, now: ClockTime) -> InquiryVerdict {
    let mut verdict = InquiryVerdict::Waiting;
    for (name, witness) in trio.placement.witnesses.iter().zip(&mut trio.witnesses) {
        let answer = witness.on_inquiry(now, trio.key, &trio.home_id);
        verdict = trio.home.on_answer(trio.key, name, answer);
    }
    verdict
}

/// Guards resends at a home that ran long enough: a resend joins the run in flight or gets its end,
/// another request under the key is refused, and a sealed home runs no new key.
#[test]
fn long_running_home_runs_a_key_once() {
    let mut t = trio(ClockTime::ZERO);
    let unasked = t
        .home
        .claim(START, t.key, request("a"), ConsentStatus::NotAsked);
    assert_eq!(
        unasked,
        KeyVerdict::NeedConsent(t.placement.witnesses.clone())
    );
    let consent = t.witnesses[0].consent(START, t.key, &t.home_id);
    assert_eq!(consent, ConsentVerdict::Granted);
    let consent = granted(&t.placement);
    let mut claim = |text| t.home.claim(START, t.key, request(text), consent.clone());
    assert_eq!(claim("a"), KeyVerdict::Run);
    assert_eq!(claim("a"), KeyVerdict::Join);
    assert_eq!(claim("b"), KeyVerdict::KeyReused);
    t.home.finish(t.key, CallOutcome::NotRun);
    let mut claim = |text| t.home.claim(START, t.key, request(text), consent.clone());
    assert_eq!(claim("a"), KeyVerdict::Run, "what did not run may run");
    t.home.finish(t.key, CallOutcome::Unanswered(RanState::Yes));
    let again = t.home.claim(START, t.key, request("a"), consent.clone());
    assert_eq!(again, KeyVerdict::Finished(RanState::Yes));
    t.home.seal();
    let other = t.home.claim(START, key("order-18"), request("a"), consent);
    assert!(matches!(
        other,
        KeyVerdict::Sealed(_) | KeyVerdict::NotHome(_)
    ));
}

/// Guards availability after a restart: a key that no witness consented to before runs.
#[test]
fn restarted_home_runs_an_unseen_key() {
    let mut t = trio(START);
    let consent = granted(&t.placement);
    let claim = t.home.claim(START, t.key, request("a"), consent);
    assert!(matches!(claim, KeyVerdict::Inquire(_)));
    assert_eq!(inquire(&mut t, START), InquiryVerdict::Run);
    let old = ProcessId::new(t.placement.home.clone(), IncarnationNumber(1));
    let late = t.witnesses[1].consent(START, t.key, &old);
    assert_eq!(
        late,
        ConsentVerdict::Contested,
        "the old run gets no consent any more"
    );
}

/// Guards P4 after a restart: a key that a witness consented to for the old run is uncertain.
#[test]
fn restarted_home_refuses_a_seen_key() {
    let mut t = trio(START);
    let old = ProcessId::new(t.placement.home.clone(), IncarnationNumber(1));
    t.witnesses[1].consent(START, t.key, &old);
    t.home
        .claim(START, t.key, request("a"), granted(&t.placement));
    assert_eq!(inquire(&mut t, START), InquiryVerdict::Uncertain);
    assert_eq!(t.home.ran_state(START, t.key), RanState::Unknown);
}

/// Guards P4 after a restart when a witness does not answer or has restarted as well.
#[test]
fn restarted_home_refuses_without_every_witness() {
    let mut t = trio(START);
    t.home
        .claim(START, t.key, request("a"), granted(&t.placement));
    assert_eq!(t.home.on_inquiry_timeout(t.key), InquiryVerdict::Uncertain);
    let mut t = trio(START);
    t.witnesses[0] = registry(&t.placement.witnesses[0], 2, START);
    t.home
        .claim(START, t.key, request("a"), granted(&t.placement));
    assert_eq!(inquire(&mut t, START), InquiryVerdict::Uncertain);
}

/// Guards the memory limit: new keys are refused, and old ones are not forgotten early.
#[test]
fn full_home_refuses_new_keys() {
    let name: NodeName = "n0".parse().unwrap();
    let own = ProcessId::new(name.clone(), IncarnationNumber(1));
    let revision = RevisionNumber::new(1, 1);
    let mut home = KeyRegistry::new(own, ClockTime::ZERO, revision, vec![name], policy());
    let mut claim = |now, text| home.claim(now, key(text), request(text), ConsentStatus::NotAsked);
    for text in ["a", "b", "c"] {
        assert_eq!(claim(START, text), KeyVerdict::Run);
    }
    assert_eq!(claim(START, "d"), KeyVerdict::Full(RanState::No));
    assert_eq!(claim(START, "a"), KeyVerdict::Join);
    home.finish(key("a"), CallOutcome::Unanswered(RanState::Yes));
    let later = START + LIFETIME;
    let claim = home.claim(later, key("d"), request("d"), ConsentStatus::NotAsked);
    assert_eq!(claim, KeyVerdict::Run, "an expired key makes room");
}

/// Guards a change of the home: the former home hands the key over and never runs it.
#[test]
fn former_home_hands_the_key_over() {
    let all = names(4);
    let few = names(3);
    let moves = |text: &&String| {
        let at = |names: &[NodeName]| KeyPlacement::new(key(text), names, 2).unwrap().home;
        at(&few) != at(&all)
    };
    let texts: Vec<_> = (0..50).map(|number| format!("order-{number}")).collect();
    let key = key(texts.iter().find(moves).unwrap());
    let before = KeyPlacement::new(key, &few, 2).unwrap();
    let after = KeyPlacement::new(key, &all, 2).unwrap();
    let start = |name: &NodeName| {
        let own = ProcessId::new(name.clone(), IncarnationNumber(1));
        let revision = RevisionNumber::new(1, 1);
        KeyRegistry::new(own, ClockTime::ZERO, revision, few.clone(), policy())
    };
    let mut old = start(&before.home);
    let mut new = start(&after.home);
    new.on_revision(START, RevisionNumber::new(1, 2), all);
    let claim = new.claim(START, key, request("a"), granted(&after));
    let KeyVerdict::Inquire(nodes) = claim else {
        panic!("{claim:?}");
    };
    assert!(nodes.contains(&before.home));
    let asker = ProcessId::new(after.home.clone(), IncarnationNumber(1));
    let answer = old.on_inquiry(START, key, &asker);
    assert_eq!(answer.as_home, PriorUse::Unseen);
    let unsure = InquiryAnswer {
        as_witness: PriorUse::Unsure,
        as_home: PriorUse::Unsure,
    };
    for node in nodes.iter().filter(|node| **node != before.home) {
        new.on_answer(key, node, unsure);
    }
    let verdict = new.on_answer(key, &before.home, answer);
    assert_eq!(verdict, InquiryVerdict::Run);
    let claim = old.claim(START, key, request("a"), granted(&before));
    assert_eq!(claim, KeyVerdict::HandedOver(asker));
}

/// Message between the processes; a number is the index of a process.
#[derive(Clone, Debug)]
enum Message {
    /// A request that asks this witness for consent.
    Witness(NodeName),
    /// A request that arrives at its home.
    Claim(usize, ConsentStatus),
    /// An inquiry to this node from its asker.
    Inquiry(NodeName, usize),
    /// An answer to the asker from this node.
    Answer(usize, NodeName, InquiryAnswer),
}

struct Process {
    name: NodeName,
    run: u64,
    registry: KeyRegistry,
    revision: u64,
    /// When a later run of the node replaced this one.
    replaced_at: Option<ClockTime>,
    alive: bool,
}

/// Simulated processes of four nodes that handle requests for one key; several runs of a node may
/// be alive at once.
struct Cluster {
    key: KeyId,
    now: ClockTime,
    processes: Vec<Process>,
    /// Undelivered messages with the time of sending.
    messages: Vec<(ClockTime, Message)>,
    /// Processes that ran the key.
    runs: Vec<usize>,
    /// Treats every request as granted, to show that the test finds the double runs that consent
    /// prevents.
    ignore_consent: bool,
}

/// The nodes that a revision declares: all four, or all but the first or the last.
fn declared(revision: u64) -> Vec<NodeName> {
    let mut all = names(4);
    match revision % 3 {
        1 => {}
        2 => drop(all.remove(0)),
        _ => drop(all.remove(3)),
    }
    all
}

impl Cluster {
    fn new(ignore_consent: bool) -> Self {
        let mut cluster = Self {
            key: key("order-17"),
            now: START,
            processes: Vec::new(),
            messages: Vec::new(),
            runs: Vec::new(),
            ignore_consent,
        };
        for name in names(4) {
            cluster.start(name, 1, ClockTime::ZERO);
        }
        cluster
    }

    fn start(&mut self, name: NodeName, revision: u64, started: ClockTime) {
        let run = self.processes.len() as u64 + 1;
        let local = ProcessId::new(name.clone(), IncarnationNumber(run));
        let number = RevisionNumber::new(1, revision);
        let registry = KeyRegistry::new(local, started, number, declared(revision), policy());
        self.processes.push(Process {
            name,
            run,
            registry,
            revision,
            replaced_at: None,
            alive: true,
        });
    }

    /// Picks a living process, of the given node if there is one.
    fn pick(&self, name: Option<&NodeName>, draw: usize) -> Option<usize> {
        let matches =
            |process: &Process| process.alive && name.is_none_or(|name| process.name == *name);
        let all: Vec<_> = (0..self.processes.len())
            .filter(|at| matches(&self.processes[*at]))
            .collect();
        (!all.is_empty()).then(|| all[draw % all.len()])
    }

    fn send(&mut self, message: Message) {
        self.messages.push((self.now, message));
    }

    /// Performs the step with this code: 0 sends a request, 1 to 5 deliver a message, 6 ends an
    /// inquiry, 7 restarts a node, 8 advances the clock, 9 changes the declared nodes.
    fn step(&mut self, code: u8, draw: usize) {
        match code {
            0 if self.now <= START + THIRD => {
                let at = self.pick(None, draw).unwrap();
                let placement = self.processes[at].registry.placement(self.key).unwrap();
                let witness = placement.witnesses[draw / 7 % 2].clone();
                self.send(Message::Witness(witness));
            }
            1..=5 if !self.messages.is_empty() => {
                let at = draw % self.messages.len();
                let (_, message) = self.messages.remove(at);
                self.deliver(message, draw / 13);
            }
            6 => {
                let at = self.pick(None, draw).unwrap();
                let verdict = self.processes[at].registry.on_inquiry_timeout(self.key);
                self.decide(at, verdict);
            }
            7 => self.restart(draw),
            8 => self.advance(TimeSpan::new(draw as u64 % 60_000)),
            9 => self.revise(draw),
            _ => {}
        }
    }

    fn deliver(&mut self, message: Message, draw: usize) {
        let (key, now) = (self.key, self.now);
        match message {
            Message::Witness(name) => {
                let Some(at) = self.pick(Some(&name), draw) else {
                    return;
                };
                let home = self.processes[at].registry.placement(key).unwrap().home;
                let runs: Vec<_> = (0..self.processes.len())
                    .filter(|at| self.processes[*at].name == home)
                    .collect();
                let to = runs[draw / 3 % runs.len()];
                let owner = ProcessId::new(home, IncarnationNumber(self.processes[to].run));
                let verdict = self.processes[at].registry.consent(now, key, &owner);
                let consent = match verdict {
                    _ if self.ignore_consent => ConsentStatus::Granted { by: name },
                    ConsentVerdict::Granted => ConsentStatus::Granted { by: name },
                    ConsentVerdict::Contested => ConsentStatus::Contested,
                    _ => return,
                };
                self.send(Message::Claim(to, consent));
            }
            Message::Claim(at, consent) if self.processes[at].alive => {
                match self.processes[at]
                    .registry
                    .claim(now, key, request("a"), consent)
                {
                    KeyVerdict::Run => self.runs.push(at),
                    KeyVerdict::Inquire(nodes) => {
                        for node in nodes {
                            self.send(Message::Inquiry(node, at));
                        }
                    }
                    _ => {}
                }
            }
            Message::Inquiry(name, asker) => {
                let Some(at) = self.pick(Some(&name), draw) else {
                    return;
                };
                let from = &self.processes[asker];
                let owner = ProcessId::new(from.name.clone(), IncarnationNumber(from.run));
                let answer = self.processes[at].registry.on_inquiry(now, key, &owner);
                self.send(Message::Answer(asker, name, answer));
            }
            Message::Answer(at, from, answer) if self.processes[at].alive => {
                let verdict = self.processes[at].registry.on_answer(key, &from, answer);
                self.decide(at, verdict);
            }
            _ => {}
        }
    }

    fn decide(&mut self, at: usize, verdict: InquiryVerdict) {
        if verdict == InquiryVerdict::Run {
            self.runs.push(at);
        }
    }

    /// Starts a new run of a node; the old run may continue for a while.
    fn restart(&mut self, draw: usize) {
        let name = names(4)[draw % 4].clone();
        let newest = self
            .processes
            .iter_mut()
            .rfind(|process| process.name == name);
        let old = newest.unwrap();
        if old.replaced_at.is_none() {
            old.replaced_at = Some(self.now);
            old.alive = !draw.is_multiple_of(3);
        }
        // A replaced node never returns to an older revision (P7).
        let revision = old.revision;
        self.start(name, revision, self.now);
    }

    /// Advances the clock; drops messages that are too old and ends processes replaced long ago.
    fn advance(&mut self, span: TimeSpan) {
        self.now += span;
        let now = self.now;
        self.messages.retain(|(sent, _)| now - *sent < THIRD);
        for process in &mut self.processes {
            let ended = process.replaced_at.is_some_and(|at| now - at >= THIRD);
            process.alive &= !ended;
        }
    }

    /// One process applies the next revision and in some cases the others learn of it.
    fn revise(&mut self, draw: usize) {
        let at = self.pick(None, draw).unwrap();
        let process = &mut self.processes[at];
        process.revision += 1;
        let number = RevisionNumber::new(1, process.revision);
        process
            .registry
            .on_revision(self.now, number, declared(process.revision));
        let name = process.name.clone();
        if draw.is_multiple_of(2) {
            for other in &mut self.processes {
                other.registry.on_peer_revision(self.now, &name, number);
            }
        }
    }
}

/// Number of runs of the key after these steps.
fn runs_after(steps: &[(u8, usize)], ignore_consent: bool) -> usize {
    let mut cluster = Cluster::new(ignore_consent);
    for (code, draw) in steps {
        cluster.step(*code, *draw);
    }
    cluster.runs.len()
}

/// Generates step codes, mostly delivery of messages; code 9, which changes the declared nodes,
/// only with `revisions`.
fn code(revisions: bool) -> impl Strategy<Value = u8> {
    let last = if revisions { 9_u8 } else { 8 };
    prop_oneof![3 => Just(0_u8), 10 => Just(1), 1 => Just(6), 2 => Just(7), 2 => Just(8), 1 => Just(last)]
}

proptest! {
    #![proptest_config(seeded::config(4_000))]

    /// Guards P4 when homes and witnesses are paused or replaced and act on stale views.
    #[test]
    fn a_key_runs_once_through_restarts(
        steps in prop::collection::vec((code(false), any::<u16>()), 1..150),
    ) {
        let steps: Vec<_> = steps.into_iter().map(|(code, draw)| (code, usize::from(draw))).collect();
        prop_assert!(runs_after(&steps, false) <= 1);
    }

    /// Guards P4 when the declared nodes change as well, at each process at a different time.
    #[test]
    fn a_key_runs_once_through_revisions(
        steps in prop::collection::vec((code(true), any::<u16>()), 1..150),
    ) {
        let steps: Vec<_> = steps.into_iter().map(|(code, draw)| (code, usize::from(draw))).collect();
        prop_assert!(runs_after(&steps, false) <= 1);
    }
}

/// Guards the two tests above against passing vacuously: the simulation runs the key in many cases,
/// and without the consent of witnesses it finds double runs.
#[test]
fn cluster_finds_double_runs_without_consent() {
    use rand::{Rng, SeedableRng};
    let mut random = rand_pcg::Pcg64::seed_from_u64(99);
    let (mut ran, mut twice) = (0, 0);
    for _ in 0..2_000 {
        let mut draw = || {
            let code = [0, 0, 1, 1, 1, 1, 1, 1, 6, 7, 8][random.random_range(0..11)];
            (code, random.random_range(0..60_000))
        };
        let steps: Vec<_> = (0..100).map(|_| draw()).collect();
        ran += usize::from(runs_after(&steps, false) == 1);
        twice += usize::from(runs_after(&steps, true) > 1);
    }
    assert!(ran > 200, "{ran} of 2000 ran");
    assert!(twice > 20, "{twice} of 2000 ran twice without consent");
}
