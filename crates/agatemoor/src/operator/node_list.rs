use std::net::SocketAddr;
use std::str::FromStr;

use base::ParseError;

/// Operator addresses of nodes, as `--node` names them.
///
/// ```
/// let list: agatemoor::NodeList = "127.0.0.1:9001,127.0.0.1:9002".parse().unwrap();
/// assert_eq!(list.addresses().len(), 2);
/// assert!("balaju-1:9001".parse::<agatemoor::NodeList>().is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeList {
    addresses: Vec<SocketAddr>,
}

impl NodeList {
    /// The addresses in the order given, each once.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

impl FromStr for NodeList {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let allowed = "IP:PORT of the operator listener, several separated by commas";
        let mut addresses = Vec::new();
        for part in text.split(',') {
            let part = part.trim();
            let address = part
                .parse()
                .map_err(|_| ParseError::new("node address", part, allowed))?;
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        Ok(Self { addresses })
    }
}
