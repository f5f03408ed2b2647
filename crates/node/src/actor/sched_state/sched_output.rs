use base::TargetName;
use calls::CrashMessage;
use sched::PeerDigest;

/// A message that the scheduling actor asks the rest of the node to send or act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedOutput {
    /// Tell the peers of the failure domain the work in flight of this node.
    Publish(PeerDigest),
    /// Probe a target now.
    Probe(TargetName),
    /// Tell the peers of the failure domain about a request that may crash its targets.
    Crash(CrashMessage),
}
