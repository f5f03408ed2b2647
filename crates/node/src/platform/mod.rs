//! The platform's configuration service, which can only be read and watched.

mod platform_client;

pub use platform_client::{ListedTarget, PlatformClient, PlatformFailure};
