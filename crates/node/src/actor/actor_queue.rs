use std::future::Future;
use std::pin::Pin;

use tokio::sync::{mpsc, oneshot};
use xtra::{Address, Handler};

type ActorJob<A> =
    Box<dyn FnOnce(Address<A>) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + 'static>;

/// Hands messages to an actor one at a time, in the order in which they were posted; clones
/// share the order.
///
/// The mailbox of `xtra` 0.6 gives waiting messages of equal priority out in any order, so that
/// an older state could replace a newer one. It therefore never holds more than one message.
pub struct ActorQueue<A> {
    jobs: mpsc::UnboundedSender<ActorJob<A>>,
}

impl<A: Send + 'static> ActorQueue<A> {
    /// Creates the queue of the actor at `address`; needs a runtime of `tokio`.
    pub fn new(address: Address<A>) -> Self {
        let (jobs, waiting) = mpsc::unbounded_channel();
        tokio::spawn(hand_over(address, waiting));
        Self { jobs }
    }

    /// Posts a message without waiting; one to an actor that has stopped is dropped.
    pub fn post<M>(&self, message: M)
    where
        M: Send + 'static,
        A: Handler<M>,
    {
        self.push(Box::new(move |address| {
            Box::pin(async move {
                // The actor is gone once the node has stopped.
                let _ = address.send(message).await;
            })
        }));
    }

    /// Posts a message and waits for its answer; `None` if the actor has stopped.
    pub async fn ask<M>(&self, message: M) -> Option<A::Return>
    where
        M: Send + 'static,
        A: Handler<M>,
        A::Return: Send,
    {
        let (reply, answer) = oneshot::channel();
        self.push(Box::new(move |address| {
            Box::pin(async move {
                if let Ok(answer) = address.send(message).await {
                    // Whoever asked may have gone away.
                    let _ = reply.send(answer);
                }
            })
        }));
        answer.await.ok()
    }

    fn push(&self, job: ActorJob<A>) {
        // Only the end of the runtime closes the channel.
        let _ = self.jobs.send(job);
    }
}

impl<A> Clone for ActorQueue<A> {
    fn clone(&self) -> Self {
        Self {
            jobs: self.jobs.clone(),
        }
    }
}

async fn hand_over<A>(address: Address<A>, mut waiting: mpsc::UnboundedReceiver<ActorJob<A>>) {
    while let Some(job) = waiting.recv().await {
        job(address.clone()).await;
    }
}
