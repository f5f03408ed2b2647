use base::{DomainName, NodeName, top_owner};

use crate::{DomainPlan, GuardSwitches};

/// The node that grants slots in a domain: the rendezvous owner over the live declared nodes,
/// if they are a majority of the declared ones.
///
/// ```
/// use base::RevisionNumber;
/// use fleet::{KeySet, KeyText, make_head, validate_set};
/// use orders::{DomainPlan, GuardSwitches, loader_of};
/// let text = "[domain patan]\n\
///     [node n1]\ndomain = patan\npeer_address = 192.0.2.1:1\n\
///     [node n2]\ndomain = patan\npeer_address = 192.0.2.1:2\n";
/// let keys = vec![KeyText::new("fleet.ini", text)];
/// let fleet = validate_set(&KeySet::new(make_head(1, &keys), keys)).unwrap();
/// let plan = DomainPlan::new(&fleet, RevisionNumber::new(1, 1), &"patan".parse().unwrap());
/// let both = [plan.nodes[0].clone(), plan.nodes[1].clone()];
/// assert!(loader_of(&plan, &both, &GuardSwitches::default()).is_some());
/// assert!(loader_of(&plan, &both[..1], &GuardSwitches::default()).is_none());
/// ```
pub fn loader_of(plan: &DomainPlan, live: &[NodeName], guards: &GuardSwitches) -> Option<NodeName> {
    let declared = |node: &&NodeName| plan.nodes.binary_search(node).is_ok();
    let nodes: Vec<&NodeName> = live.iter().filter(declared).collect();
    let majority = 2 * nodes.len() > plan.nodes.len();
    if guards.majority_rule && !majority {
        return None;
    }
    let key = loader_key(&plan.domain);
    let name = top_owner(&key, nodes.iter().map(|node| node.as_str()))?;
    nodes
        .into_iter()
        .find(|node| node.as_str() == name)
        .cloned()
}

fn loader_key(domain: &DomainName) -> String {
    format!("loader/{domain}")
}
