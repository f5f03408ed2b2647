use std::future::Future;
use std::pin::Pin;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::WebBody;

/// Future of the response to one request.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response<WebBody>> + Send>>;

/// Handles the requests that a [`WebServer`](crate::WebServer) receives; closures implement it.
pub trait WebHandler: Send + Sync + 'static {
    /// Returns the future of the response to `request`.
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
