//! Settings of a membership table.

mod mechanism_set;
mod member_settings;

pub use mechanism_set::MechanismSet;
pub use member_settings::MemberSettings;
