use std::sync::Arc;

use super::{CallCodec, EngineControl, ViewCodec, ViewSource};
use crate::GatewaySettings;

/// Reads the settings again, as after a signal.
pub trait SettingsSource: Send + Sync {
    /// Reads the settings.
    ///
    /// # Errors
    /// A text that names the file, the field and what was found.
    fn read(&self) -> Result<GatewaySettings, String>;
}

/// All that a platform supplies.
#[derive(Clone)]
pub struct GatewayPorts {
    /// Headers of calls.
    pub calls: Arc<dyn CallCodec>,
    /// Published items.
    pub items: Arc<dyn ViewCodec>,
    /// Where items are published.
    pub source: Arc<dyn ViewSource>,
    /// Orders to engines.
    pub engines: Arc<dyn EngineControl>,
    /// Settings of the process.
    pub settings: Arc<dyn SettingsSource>,
}
