use load::baseline::{BaselinePolicy, ChoiceRule};
use node::NodeIdentity;
use sched::RoutePolicy;

/// Makes the routing policy of a node.
pub fn make_policy(identity: &NodeIdentity) -> Box<dyn RoutePolicy> {
    let seed = identity.incarnation.0;
    Box::new(BaselinePolicy::new(ChoiceRule::LeastInFlight, seed))
}
