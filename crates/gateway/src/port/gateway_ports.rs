use std::sync::Arc;

use super::{EngineControl, HeaderCodec, ViewDecoder, ViewSource};
use crate::GatewaySettings;

/// Source of the gateway's settings, from which they are reloaded while it runs.
pub trait SettingsSource: Send + Sync {
    /// Reads the settings.
    ///
    /// # Errors
    /// A message that names the file, the field and the value found.
    fn read(&self) -> Result<GatewaySettings, String>;
}

/// Implementations of all ports, supplied by a platform.
#[derive(Clone)]
pub struct GatewayPorts {
    /// Codec of the headers of requests and responses.
    pub headers: Arc<dyn HeaderCodec>,
    /// Decoder of published items.
    pub items: Arc<dyn ViewDecoder>,
    /// Client of the store where items are published.
    pub source: Arc<dyn ViewSource>,
    /// Client of the engines' control interface.
    pub engines: Arc<dyn EngineControl>,
    /// Source of the settings of the process.
    pub settings: Arc<dyn SettingsSource>,
}
