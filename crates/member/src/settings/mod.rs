//! Settings of a membership table.

mod member_settings;
mod protocol_features;

pub use member_settings::MemberSettings;
pub use protocol_features::ProtocolFeatures;
