use base::TargetName;
use calls::CrashMessage;
use sched::PeerDigest;

/// What the scheduling actor wants sent to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedOutput {
    /// Send the digest to the peers of the domain.
    Publish(PeerDigest),
    /// Read the load of a target now.
    Probe(TargetName),
    /// Tell the peers of the domain about a marked request.
    Crash(CrashMessage),
}
