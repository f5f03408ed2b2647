use std::sync::Arc;

use crate::{DeclarationMistake, FleetDeclaration, KeySet, accept};

/// The verdict on a complete key set.
pub trait SetAcceptance: Send {
    /// Returns the declaration of the set or its mistakes.
    ///
    /// # Errors
    ///
    /// Returns every mistake of an invalid set.
    fn judge(&mut self, set: &KeySet) -> Result<Arc<FleetDeclaration>, Vec<DeclarationMistake>>;
}

/// The verdict of [`accept`], which depends on the set alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct PureAcceptance;

impl SetAcceptance for PureAcceptance {
    fn judge(&mut self, set: &KeySet) -> Result<Arc<FleetDeclaration>, Vec<DeclarationMistake>> {
        accept(set).map(Arc::new)
    }
}
