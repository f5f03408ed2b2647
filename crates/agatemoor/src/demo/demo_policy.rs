use node::NodeIdentity;
use sched::{PeakPolicy, PolicySettings, RoutePolicy};

/// Creates the routing policy of a node, seeded with its incarnation number.
pub fn make_policy(identity: &NodeIdentity) -> Box<dyn RoutePolicy> {
    let (node, domain) = (identity.node.clone(), identity.domain.clone());
    let seed = identity.incarnation.0;
    Box::new(PeakPolicy::new(
        PolicySettings::default(),
        node,
        domain,
        seed,
    ))
}
