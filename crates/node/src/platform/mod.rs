//! Client of the platform's configuration service, which offers reads and watches only.

mod platform_client;

pub use platform_client::{ListedTarget, PlatformClient, PlatformError};
