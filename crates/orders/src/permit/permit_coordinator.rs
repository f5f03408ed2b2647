use base::{DomainName, NodeName, top_owner};

use crate::{DomainPlan, GuardSwitches};

/// Returns the permit coordinator of a domain, the node that grants permits: the one that
/// rendezvous hashing selects among the live declared nodes. `None` if these are not a majority of
/// the declared nodes.
///
/// ```
/// use base::RevisionNumber;
/// use fleet::{KeySet, KeyText, make_head, validate_set};
/// use orders::{DomainPlan, GuardSwitches, permit_coordinator};
/// let text = "[domain patan]\n\
///     [node n1]\ndomain = patan\npeer_address = 192.0.2.1:1\n\
///     [node n2]\ndomain = patan\npeer_address = 192.0.2.1:2\n";
/// let keys = vec![KeyText::new("fleet.ini", text)];
/// let fleet = validate_set(&KeySet::new(make_head(1, &keys), keys)).unwrap();
/// let plan = DomainPlan::new(&fleet, RevisionNumber::new(1, 1), &"patan".parse().unwrap());
/// let both = [plan.nodes[0].clone(), plan.nodes[1].clone()];
/// assert!(permit_coordinator(&plan, &both, &GuardSwitches::default()).is_some());
/// assert!(permit_coordinator(&plan, &both[..1], &GuardSwitches::default()).is_none());
/// ```
pub fn permit_coordinator(
    plan: &DomainPlan,
    live: &[NodeName],
    guards: &GuardSwitches,
) -> Option<NodeName> {
    let declared = |node: &&NodeName| plan.nodes.binary_search(node).is_ok();
    let nodes: Vec<&NodeName> = live.iter().filter(declared).collect();
    let majority = 2 * nodes.len() > plan.nodes.len();
    if guards.majority_rule && !majority {
        return None;
    }
    let key = coordinator_key(&plan.domain);
    let name = top_owner(&key, nodes.iter().map(|node| node.as_str()))?;
    nodes
        .into_iter()
        .find(|node| node.as_str() == name)
        .cloned()
}

fn coordinator_key(domain: &DomainName) -> String {
    format!("loader/{domain}")
}
