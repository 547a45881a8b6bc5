//! A plain HTTP server for stand-ins.

use std::{convert::Infallible, future::Future, net::SocketAddr};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use volo::{Service, net::Address};
use volo_http::{body::Body, context::ServerContext, request::Request, server::Server};

/// A whole request.
pub(crate) struct Whole {
    pub(crate) parts: http::request::Parts,
    pub(crate) body: Bytes,
}

/// What answers whole requests.
pub(crate) trait Answer: Clone + Send + Sync + 'static {
    /// Answers one request; the future is dropped when the other end leaves.
    fn answer(&self, request: Whole) -> impl Future<Output = Response<Body>> + Send;
}

#[derive(Clone)]
struct Front<A>(A);

impl<A: Answer> Service<ServerContext, Request> for Front<A> {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        _cx: &mut ServerContext,
        req: Request,
    ) -> Result<Self::Response, Self::Error> {
        let (parts, body) = req.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        Ok(self.0.answer(Whole { parts, body }).await)
    }
}

/// Serves until a signal ends the process.
pub(crate) fn serve(at: SocketAddr, answer: impl Answer) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let server = Server::new(Front(answer)).http1_only();
        server.run(Address::from(at)).await.map_err(std::io::Error::other)
    })
}

/// A response with a body.
pub(crate) fn response(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    response
}
