//! A simulated network of membership tables in virtual time, shared by the tests and the examples.
#![allow(dead_code)]

mod fake_network;
mod fake_node;

pub use fake_network::FakeNetwork;
pub use fake_node::FakeNode;
