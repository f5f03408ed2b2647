use base::{DomainName, NodeName, top_owner};

use crate::{DomainPlan, GuardSwitches};

/// The node that grants slots in a domain: the rendezvous owner over the live declared nodes,
/// if they are a majority of the declared ones.
///
/// ```
/// let _loader_of = orders::loader_of;
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
