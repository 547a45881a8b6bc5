//! An HTTP/1.1 server that reads pipelined requests while earlier ones are still in progress.

mod connection;
mod connection_table;
mod lingering;
mod message;
mod parser;
mod refusal;
mod run;

pub(crate) use message::{Handler, HttpRequest, HttpResponse};
pub(crate) use run::{ServerOptions, serve};
