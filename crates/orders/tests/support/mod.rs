//! A small simulated fleet in virtual time: targets with and without fencing, nodes that can be
//! partitioned, paused and killed, and a record of every order.
// Each test file uses only a part of this module.
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

/// All safety mechanisms switched on.
pub fn all_guards() -> orders::GuardSwitches {
    orders::GuardSwitches::default()
}

/// All safety mechanisms except those that `switch` turns off.
pub fn guards_without(switch: impl Fn(&mut orders::GuardSwitches)) -> orders::GuardSwitches {
    let mut guards = all_guards();
    switch(&mut guards);
    guards
}
