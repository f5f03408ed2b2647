//! Merging is commutative, associative, idempotent and monotone, and the table agrees with it.

use base::{ClockTime, IncarnationNumber, RevisionNumber};
use member::{
    DeclaredNode, MemberAction, MemberMessage, MemberSettings, MemberTable, NodeState,
    merge_domains, merge_nodes, merge_targets, node_outranks,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use schema::member::{
    DomainRecord, MessageBody, MessageHeader, NodeRecord, RumorList, TargetDrain, TargetRecord,
};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(90),
        ..ProptestConfig::default()
    }
}

fn node_record() -> impl Strategy<Value = NodeRecord> {
    let states = [
        NodeState::Alive,
        NodeState::Suspect,
        NodeState::Leaving,
        NodeState::Dead,
    ];
    (1..4u64, 0..4u32, 0..4usize).prop_map(move |(run, version, state)| NodeRecord {
        node: "balaju-1".parse().unwrap(),
        incarnation: IncarnationNumber(run),
        version,
        state: states[state],
    })
}

fn target_record() -> impl Strategy<Value = TargetRecord> {
    let drains = [
        TargetDrain::Open,
        TargetDrain::Leaving,
        TargetDrain::Reclaimed,
    ];
    (0..3u64, 0..4u32, 0..3usize, any::<bool>()).prop_map(move |(run, version, drain, dead)| {
        TargetRecord {
            target: "quill-1".parse().unwrap(),
            domain: "balaju".parse().unwrap(),
            incarnation: IncarnationNumber(run),
            drain: drains[drain],
            version,
            dead,
        }
    })
}

fn domain_record() -> impl Strategy<Value = DomainRecord> {
    (0..4u64, any::<bool>(), 0..3u32, 0..3u64).prop_map(|(sequence, lost, live, index)| {
        let revision = RevisionNumber::new(1, index);
        let domain = "balaju".parse().unwrap();
        DomainRecord {
            domain,
            sequence,
            lost,
            live,
            digest: 0,
            revision,
        }
    })
}

/// Asserts the laws of a join. Monotone means that merging a record a second time changes nothing.
fn check_join<R: Clone + PartialEq + std::fmt::Debug>(
    join: impl Fn(&R, &R) -> R,
    [one, two, three]: [&R; 3],
) {
    let both = join(one, two);
    assert_eq!(both, join(two, one), "commutative");
    assert_eq!(
        join(&both, three),
        join(one, &join(two, three)),
        "associative"
    );
    assert_eq!(join(one, one), *one, "idempotent");
    assert_eq!(join(&both, one), both, "monotone");
    assert_eq!(join(&both, two), both, "monotone");
}

/// Feeds records of node 1 one by one into the table of node 0; returns the resulting run and state
/// of node 1.
fn fold_in_table(records: &[NodeRecord]) -> (IncarnationNumber, NodeState) {
    let nodes = ["balaju-0", "balaju-1", "balaju-2"].map(|name| DeclaredNode {
        node: name.parse().unwrap(),
        domain: "balaju".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
    });
    let run = IncarnationNumber(1);
    let settings = MemberSettings::new(nodes[0].node.clone(), nodes[0].domain.clone(), run);
    let mut table = MemberTable::new(settings, 1);
    let now = ClockTime::new(1_000);
    let mut actions: Vec<MemberAction> = Vec::new();
    table.on_declared_nodes(now, &nodes, &mut actions);
    for record in records {
        let header = MessageHeader {
            incarnation: run,
            revision: RevisionNumber::default(),
            revision_digest: 0,
            view_digest: 0,
        };
        let rumors = RumorList {
            nodes: vec![record.clone()],
            targets: Vec::new(),
            domains: Vec::new(),
            payloads: Vec::new(),
        };
        let message = MemberMessage {
            header,
            body: MessageBody::Gossip,
            rumors,
        };
        table.on_message(now, &nodes[2].node, message, &mut actions);
    }
    let view = table.node(&nodes[1].node).unwrap();
    (view.incarnation, view.state)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against views that depend on the order in which rumours arrive.
    #[test]
    fn node_merge_is_a_join(one in node_record(), two in node_record(), three in node_record()) {
        check_join(merge_nodes, [&one, &two, &three]);
        prop_assert!(!(node_outranks(&one, &two) && node_outranks(&two, &one)));
    }

    /// Guards against an old rumour that reverts a drain or a run.
    #[test]
    fn target_merge_is_a_join(
        one in target_record(), two in target_record(), three in target_record(),
    ) {
        check_join(merge_targets, [&one, &two, &three]);
        let joined = merge_targets(&one, &two);
        prop_assert!(joined.incarnation >= one.incarnation.max(two.incarnation));
        prop_assert!(one.incarnation != two.incarnation || joined.drain >= one.drain);
    }

    /// Guards against an old summary that marks a lost domain as found.
    #[test]
    fn domain_merge_is_a_join(
        one in domain_record(), two in domain_record(), three in domain_record(),
    ) {
        check_join(merge_domains, [&one, &two, &three]);
    }

    /// Guards against a table whose records differ from the merge of everything it received.
    #[test]
    fn table_equals_the_fold_of_the_merge(
        records in proptest::collection::vec(node_record(), 1..12),
    ) {
        let folded = records.iter().skip(1).fold(records[0].clone(), |sum, record| {
            merge_nodes(&sum, record)
        });
        let expected = (folded.incarnation, folded.state);
        prop_assert_eq!(fold_in_table(&records), expected);
        let reversed: Vec<NodeRecord> = records.iter().rev().cloned().collect();
        prop_assert_eq!(fold_in_table(&reversed), expected);
    }
}
