//! An HTTP/1.1 server that reads pipelined requests while earlier ones are still in progress.

mod connection;
mod lingering;
mod message;
mod parser;
mod refusal;
mod room;
mod run;

pub(crate) use message::{Handler, HttpRequest, HttpResponse};
pub(crate) use run::{ServerOptions, serve};
