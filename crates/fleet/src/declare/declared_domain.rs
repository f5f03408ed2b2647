use base::DomainName;
use smol_str::SmolStr;

/// One declared failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredDomain {
    /// Name of the domain.
    pub name: DomainName,
    /// Region of the domain.
    pub region: SmolStr,
}
