use std::future::Future;
use std::pin::Pin;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::WebBody;

/// A response that is being made.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response<WebBody>> + Send>>;

/// Answers the requests of a listener.
pub trait WebHandler: Send + Sync + 'static {
    /// Makes the response to `request`.
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture;
}

impl<F> WebHandler for F
where
    F: Fn(Request<Incoming>) -> HandlerFuture + Send + Sync + 'static,
{
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        self(request)
    }
}
