//! The peers thread: calls and notifications between nodes, over QUIC with mutual TLS.

mod activity;
mod any_cert_verifier;
mod dial;
mod message;
mod receive;
mod run;
mod send;
mod tls;
mod watch;

pub use run::{PeersOptions, run};
pub use tls::{PeersTls, TlsError};
