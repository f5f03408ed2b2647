//! Facts about targets that all nodes replicate: crashes with the calls that ran on the target,
//! targets that announced that they are leaving, and the rates of calls that targets accept.

mod attempt_tracker;
mod call_features;
mod call_verdict;
mod crash_blame;
mod crash_sign;
mod fact_state;
mod feature_id;
mod leave_notice;
mod named_rate;
mod open_attempt;
mod proven_parts;
mod run_end;
mod suspect_tracker;
mod target_fact;
mod trial_ledger;

pub use attempt_tracker::{AttemptId, AttemptTracker};
pub use call_features::CallFeatures;
pub use call_verdict::CallVerdict;
pub use crash_sign::CrashSign;
pub use fact_state::FactState;
pub use feature_id::FeatureId;
pub use leave_notice::LeaveNotice;
pub use named_rate::NamedRate;
pub use open_attempt::{ANSWER_PROOF_TIME, DeathEvidence, OpenAttempt};
pub use proven_parts::ProvenParts;
pub use run_end::RunEnd;
pub use suspect_tracker::{SuspectCall, SuspectTracker};
pub use target_fact::TargetFact;
pub use trial_ledger::TrialLedger;
