//! A small fake fleet in virtual time: targets with and without fencing, nodes that can be cut
//! off, paused and killed, and a record of every order.
// Each test file uses a part of it.
#![allow(dead_code, unused_imports)]

mod fake_fleet;
mod fake_node;
mod fake_target;
mod fleet_shape;
mod naive_reconciler;

pub use fake_fleet::{FakeFleet, OrderRecord};
pub use fake_node::FakeNode;
pub use fake_target::FakeTarget;
pub use fleet_shape::FleetShape;
pub use naive_reconciler::{NaiveEvent, NaiveReconciler};

/// All mechanisms on.
pub fn on() -> orders::GuardSwitches {
    orders::GuardSwitches::default()
}

/// All mechanisms but those that `switch` turns off.
pub fn without(switch: impl Fn(&mut orders::GuardSwitches)) -> orders::GuardSwitches {
    let mut guards = on();
    switch(&mut guards);
    guards
}
