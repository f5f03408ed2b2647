//! A fake network of membership tables in virtual time, shared by the tests and the example.
#![allow(dead_code)]

mod fake_network;
mod fake_node;

pub use fake_network::FakeNetwork;
pub use fake_node::FakeNode;
