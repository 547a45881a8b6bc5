//! HTTP server that both stand-in processes use.

use std::{convert::Infallible, future::Future, net::SocketAddr};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use volo::{Service, net::Address};
use volo_http::{body::Body, context::ServerContext, request::Request, server::Server};

/// A request with its whole body.
pub(crate) struct WholeRequest {
    pub(crate) parts: http::request::Parts,
    pub(crate) body: Bytes,
}

/// Handles requests.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request; the future is dropped when the peer closes the connection.
    fn handle(&self, request: WholeRequest) -> impl Future<Output = Response<Body>> + Send;
}

#[derive(Clone)]
struct HandlerService<H>(H);

impl<H: Handler> Service<ServerContext, Request> for HandlerService<H> {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        _cx: &mut ServerContext,
        req: Request,
    ) -> Result<Self::Response, Self::Error> {
        let (parts, body) = req.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        Ok(self.0.handle(WholeRequest { parts, body }).await)
    }
}

/// Serves requests at `addr` until a signal ends the process.
pub(crate) fn serve(addr: SocketAddr, handler: impl Handler) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let server = Server::new(HandlerService(handler)).http1_only();
        server.run(Address::from(addr)).await.map_err(std::io::Error::other)
    })
}

/// Builds a response; a status out of range becomes 500.
pub(crate) fn response(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    response
}
