use futures_util::FutureExt;
use xtra::{Address, Handler};

/// Puts a message into the unbounded mailbox of an actor without waiting for its answer.
///
/// Messages of one sender stay in order. One to an actor that has stopped is dropped.
pub fn post_now<A, M>(address: &Address<A>, message: M)
where
    A: Handler<M>,
    M: Send + 'static,
{
    // The first poll puts the message into an unbounded mailbox.
    drop(address.send(message).detach().now_or_never());
}
