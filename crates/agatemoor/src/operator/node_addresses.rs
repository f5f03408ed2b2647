use std::net::SocketAddr;
use std::str::FromStr;

use base::ParseError;

/// Operator addresses of nodes, parsed from the value of `--node`.
///
/// ```
/// let list: agatemoor::NodeAddresses = "127.0.0.1:9001,127.0.0.1:9002".parse().unwrap();
/// assert_eq!(list.addresses().len(), 2);
/// assert!("balaju-1:9001".parse::<agatemoor::NodeAddresses>().is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    addresses: Vec<SocketAddr>,
}

impl NodeAddresses {
    /// Returns the addresses in the order given, without duplicates.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

impl FromStr for NodeAddresses {
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
