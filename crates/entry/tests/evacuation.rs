//! Which failure domains are evacuated, by records that arrive in any order.

mod support;

use base::{ClockTime, DomainName, TimeSpan};
use entry::{
    EvacuationLedger, EvacuationRecord, LeaseGuard, PlacementDecision, PlacementScope, StoreEra,
    StorePosition,
};
use proptest::prelude::*;

use support::{balancer, request};

fn domain(number: u8) -> DomainName {
    format!("d{number}").parse().unwrap()
}

fn record(number: u8, revision: u64, is_evacuated: bool) -> EvacuationRecord {
    EvacuationRecord {
        domain: domain(number),
        revision,
        era: StoreEra::default(),
        is_evacuated,
        age: TimeSpan::ZERO,
    }
}

fn now() -> ClockTime {
    ClockTime::new(10_000)
}

/// Revision and state of each domain of a ledger.
fn states(ledger: &EvacuationLedger) -> Vec<(DomainName, u64, bool)> {
    let records = ledger.records(now()).into_iter();
    records
        .map(|one| (one.domain, one.revision, one.is_evacuated))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(22),
        ..ProptestConfig::with_cases(512)
    })]

    // Guards against an older record that undoes a newer one, in some order of arrival.
    #[test]
    fn the_newest_record_holds_in_any_order(
        records in prop::collection::vec((0_u8..4, 1_u64..12, any::<bool>()), 0..24),
        order in any::<prop::sample::Index>(),
    ) {
        let mut rotated = records.clone();
        if !rotated.is_empty() {
            let at = order.index(rotated.len());
            rotated.rotate_left(at);
            rotated.reverse();
        }
        let mut ledgers = [EvacuationLedger::default(), EvacuationLedger::default()];
        for (ledger, records) in ledgers.iter_mut().zip([&records, &rotated]) {
            for (number, revision, is_evacuated) in records {
                ledger.adopt(now(), record(*number, *revision, *is_evacuated));
            }
        }
        prop_assert_eq!(states(&ledgers[0]), states(&ledgers[1]));
        for number in 0..4 {
            let of_domain = records.iter().filter(|(one, _, _)| *one == number);
            let newest = of_domain.map(|(_, revision, is)| (*revision, *is)).max();
            let expected = newest.is_some_and(|(_, is_evacuated)| is_evacuated);
            prop_assert_eq!(ledgers[0].is_evacuated(&domain(number)), expected);
        }
    }
}

// Guards against nodes that never agree: one that has read that there is no key has to tell a peer
// with an older record of it, also if it never heard of the domain before.
#[test]
fn a_read_without_the_key_answers_an_older_record() {
    let mut ledger = EvacuationLedger::default();
    assert!(ledger.adopt_read(now(), 160, Vec::new()).is_empty());
    assert_eq!(states(&ledger), []);
    assert_eq!(ledger.adopt(now(), record(1, 100, true)), None);
    assert!(!ledger.is_evacuated(&domain(1)));
    assert_eq!(states(&ledger), [(domain(1), 160, false)]);
    let mut peer = EvacuationLedger::default();
    peer.adopt(now(), record(1, 100, true));
    for told in ledger.records(now()) {
        peer.adopt(now(), told);
    }
    assert!(!peer.is_evacuated(&domain(1)));
    assert!(ledger.adopt(now(), record(1, 161, true)).is_some());
}

// Guards against reads that ignore the absence of a key, or one that was removed and written again.
#[test]
fn reads_begin_and_end_evacuations() {
    let mut ledger = EvacuationLedger::default();
    let key = |revision| vec![(domain(1), revision)];
    assert!(ledger.adopt_read(now(), 5, key(4))[0].is_evacuated);
    assert!(ledger.adopt_read(now(), 9, key(4)).is_empty());
    assert!(!ledger.adopt_read(now(), 12, Vec::new())[0].is_evacuated);
    assert!(ledger.adopt_read(now(), 15, key(14))[0].is_evacuated);
    // A peer that read the store before the key was written again.
    assert_eq!(ledger.adopt(now(), record(1, 13, false)), None);
    // An older copy of the store.
    assert!(ledger.adopt_read(now(), 11, Vec::new()).is_empty());
    assert!(ledger.is_evacuated(&domain(1)));
}

// Guards against a new grace period for moves whenever a record is told or a key is written again.
#[test]
fn an_evacuation_is_known_since_its_first_record() {
    let mut ledger = EvacuationLedger::default();
    let at = ClockTime::new;
    let mut told = record(1, 7, true);
    told.age = TimeSpan::new(400);
    ledger.adopt(at(10_000), told);
    assert_eq!(
        ledger.evacuated_for(at(14_000), &domain(1)),
        Some(TimeSpan::new(4_400))
    );
    ledger.adopt(at(12_000), record(1, 7, true));
    ledger.adopt(at(13_000), record(1, 8, true));
    assert_eq!(
        ledger.evacuated_for(at(14_000), &domain(1)),
        Some(TimeSpan::new(4_400))
    );
    assert_eq!(ledger.records(at(13_600))[0].age, TimeSpan::new(4_000));
    ledger.adopt(at(14_000), record(1, 9, false));
    assert_eq!(ledger.evacuated_for(at(14_000), &domain(1)), None);
    ledger.adopt(at(15_000), record(1, 10, true));
    assert_eq!(
        ledger.evacuated_for(at(15_000), &domain(1)),
        Some(TimeSpan::ZERO)
    );
}

// Guards against digests that grow for good after one evacuation, and against a node that missed its
// end and that nobody corrects after that.
#[test]
fn records_are_told_while_they_are_news() {
    let mut ledger = EvacuationLedger::default();
    let at = |seconds: u64| ClockTime::new(seconds * 1_000);
    assert_eq!(ledger.records_to_tell(at(1)), []);
    ledger.adopt(at(1), record(1, 7, true));
    assert_eq!(ledger.records_to_tell(at(900)).len(), 1);
    ledger.adopt(at(900), record(1, 9, false));
    assert_eq!(ledger.records_to_tell(at(950)).len(), 1);
    assert_eq!(ledger.records_to_tell(at(960)), []);
    assert_eq!(ledger.adopt(at(2_000), record(1, 7, true)), None);
    assert_eq!(ledger.records_to_tell(at(2_001)), [record(1, 9, false)]);
}

// Guards against a node that started after the evacuation began and takes it for a new one.
#[test]
fn an_evacuation_may_be_older_than_the_node() {
    let mut ledger = EvacuationLedger::default();
    let mut told = record(1, 7, true);
    told.age = TimeSpan::from_secs(60);
    ledger.adopt(ClockTime::new(200), told);
    let known_for = ledger.evacuated_for(ClockTime::new(300), &domain(1));
    assert_eq!(known_for, Some(TimeSpan::new(60_100)));
}

// Guards against memory without bound, and against an evacuation that is forgotten for others that
// are over.
#[test]
fn at_most_64_domains_are_kept() {
    let mut ledger = EvacuationLedger::default();
    for number in 0..100 {
        ledger.adopt(
            now(),
            record(number, u64::from(number) + 1, number % 2 == 0),
        );
    }
    assert_eq!(ledger.records(now()).len(), 64);
    for number in (0..100).step_by(2) {
        assert!(ledger.is_evacuated(&domain(number)), "{number}");
    }
    for number in 100..120 {
        ledger.adopt(now(), record(number, 500, true));
    }
    assert_eq!(ledger.records(now()).len(), 64);
    assert!(ledger.is_evacuated(&domain(0)));
}

// Guards against calls that are placed on targets of an evacuated domain, that wait while all
// domains are evacuated, or that find no target once one is taken back; for engines and plain
// services alike.
#[test]
fn the_targets_of_evacuated_domains_are_left_out() {
    let records = [
        support::record("e1", "patan"),
        support::record("e2", "balaju"),
    ];
    let [patan, balaju]: [DomainName; 2] = ["patan", "balaju"].map(|name| name.parse().unwrap());
    for is_engine in [true, false] {
        let mut placement = request(100, 100);
        placement.engine = placement.engine.filter(|_| is_engine);
        let mut balancer = balancer(&records);
        let mut choose = |evacuated: &[&DomainName], scope| {
            let domains = evacuated.iter().map(|name| (*name).clone()).collect();
            balancer.set_evacuated(domains);
            // Also of records that are read again.
            balancer.update_records(now(), records.to_vec(), &LeaseGuard::default());
            placement.scope = scope;
            let is_service_evacuated = balancer.is_service_evacuated(&placement.service);
            assert_eq!(is_service_evacuated, evacuated.len() == 2);
            balancer.choose_target(now(), &placement)
        };
        let target = |name: &str| PlacementDecision::Target(name.parse().unwrap());
        let scope = PlacementScope::AllDomains;
        for _ in 0..20 {
            assert_eq!(choose(&[&patan], scope), target("e2"));
            assert_eq!(choose(&[&balaju], scope), target("e1"));
        }
        assert_eq!(
            choose(&[&balaju, &patan], scope),
            PlacementDecision::NoTarget
        );
        let own = PlacementScope::OwnDomain;
        assert_eq!(choose(&[&balaju, &patan], own), PlacementDecision::NoTarget);
        assert_eq!(choose(&[], own), target("e1"));
    }
}

// Guards against moves that end for the whole fleet, since a node tells the age of an evacuation that
// was taken back long ago.
#[test]
fn the_age_of_an_earlier_evacuation_does_not_count() {
    let now = ClockTime::new(1_000_000);
    let domain: DomainName = "patan".parse().unwrap();
    let mut ledger = EvacuationLedger::default();
    ledger.adopt_read(now, 9, Vec::new());
    ledger.adopt_read(now, 11, vec![(domain.clone(), 11)]);
    ledger.adopt(
        now,
        EvacuationRecord {
            domain: domain.clone(),
            revision: 7,
            era: StoreEra::default(),
            is_evacuated: true,
            age: TimeSpan::from_secs(3_600),
        },
    );
    assert_eq!(ledger.evacuated_for(now, &domain), Some(TimeSpan::ZERO));
}

/// Records of domain 4 as a copy of the store at a position has them: `key` is the revision of its key.
fn read(
    ledger: &mut EvacuationLedger,
    at: ClockTime,
    position: (u64, u64),
    key: Option<u64>,
) -> bool {
    let position = StorePosition::new(StoreEra(position.0), position.1);
    let keys = key.map(|revision| (domain(4), revision));
    ledger.adopt_read(at, position, keys.into_iter().collect());
    ledger.is_evacuated(&domain(4))
}

// Guards against an evacuation that ends, or one that begins anew, since the store came back from a copy of
// before; and against operators who are not heard any more.
#[test]
fn an_older_copy_of_the_store_changes_no_evacuation() {
    let later = now() + TimeSpan::from_secs(9);
    let mut ledger = EvacuationLedger::default();
    assert!(read(&mut ledger, now(), (1, 90), Some(90)));
    // The copy is of before the order, which is written again, then taken back.
    assert!(read(&mut ledger, now(), (2, 70), None));
    assert!(read(&mut ledger, later, (2, 74), None));
    assert!(read(&mut ledger, later, (2, 75), Some(75)));
    assert!(!read(&mut ledger, later, (2, 76), None));
    // The copy has the order, which was taken back.
    assert!(!read(&mut ledger, later, (3, 75), Some(75)));
    assert!(!read(&mut ledger, later, (3, 80), Some(75)));
    // Another order counts at once.
    assert!(read(&mut ledger, later, (3, 81), Some(81)));
}

// Guards against an operator who does not write again, and waits for ever for the store's word to count.
#[test]
fn the_copy_of_the_store_counts_in_the_end() {
    let mut ledger = EvacuationLedger::default();
    assert!(read(&mut ledger, now(), (1, 90), Some(90)));
    assert!(read(&mut ledger, now(), (2, 70), None));
    let later = now() + TimeSpan::from_secs(10);
    assert!(!read(&mut ledger, later, (2, 70), None));
}

// Guards against a node that started from the older copy and tells its peers what that says.
#[test]
fn a_peer_that_knows_only_the_copy_changes_no_evacuation() {
    let mut ledger = EvacuationLedger::default();
    assert!(read(&mut ledger, now(), (1, 90), Some(90)));
    let told = |revision, is_evacuated| EvacuationRecord {
        era: StoreEra(2),
        ..record(4, revision, is_evacuated)
    };
    assert_eq!(ledger.adopt(now(), told(70, false)), None);
    assert_eq!(ledger.adopt(now(), told(71, false)), None);
    assert!(ledger.is_evacuated(&domain(4)));
    // A record of the earlier era says nothing any more.
    assert_eq!(ledger.adopt(now(), record(4, 300, false)), None);
    // The key was written in the new era.
    ledger.adopt(now(), told(75, true));
    assert!(ledger.adopt(now(), told(76, false)).is_some());
}
