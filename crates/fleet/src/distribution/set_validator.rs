use std::sync::Arc;

use crate::{DeclarationMistake, FleetDeclaration, KeySet, validate_set};

/// Validator of key sets; tests replace the standard one.
pub trait SetValidator: Send {
    /// Validates a set and returns its declaration.
    ///
    /// # Errors
    ///
    /// Returns every mistake of an invalid set.
    fn validate(&mut self, set: &KeySet) -> Result<Arc<FleetDeclaration>, Vec<DeclarationMistake>>;
}

/// The standard validator, which calls [`validate_set`]; its result depends on the set alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatelessValidator;

impl SetValidator for StatelessValidator {
    fn validate(&mut self, set: &KeySet) -> Result<Arc<FleetDeclaration>, Vec<DeclarationMistake>> {
        validate_set(set).map(Arc::new)
    }
}
