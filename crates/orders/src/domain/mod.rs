//! Reconciliation of all targets of one domain at one node.

mod domain_reconciler;
mod domain_view;
mod guard_switches;
mod membership_view;
mod order_message;
mod peer_messages;
mod permit_exchange;
mod reconcile_targets;
mod reconciler_action;
mod reconciler_settings;
mod rollout_gates;
mod status_report;

pub use domain_reconciler::DomainReconciler;
pub use domain_view::DomainView;
pub use guard_switches::GuardSwitches;
pub use membership_view::MembershipView;
pub use order_message::{MessageBody, OrderMessage};
pub use reconciler_action::ReconcilerAction;
pub use reconciler_settings::ReconcilerSettings;
