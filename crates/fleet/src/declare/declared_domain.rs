use base::DomainName;
use smol_str::SmolStr;

/// One failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredDomain {
    /// Name of the domain.
    pub name: DomainName,
    /// Region that the domain lies in.
    pub region: SmolStr,
}
