//! Accept loop of a server.

use std::{net::SocketAddr, time::Duration};

use metrics::counter;
use poplartrail_core::site::CallerLimits;
use poplartrail_http::ByteBudget;
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::watch,
    time::sleep,
};

use crate::adapters::{
    server::{
        Handler, connection::Connection, connection_table::ConnectionTable, refusal::Refuser,
    },
    unsent::UnsentReplies,
};

/// Number of connections that may wait to be accepted. A full backlog delays further clients by
/// seconds.
const BACKLOG: u32 = 1024;
/// Delay after a connection could not be accepted, for instance for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Parameters of [`serve`].
#[derive(Debug, Clone)]
pub(crate) struct ServerOptions {
    /// Address to listen on.
    pub(crate) listen: SocketAddr,
    /// Maximum number of open connections. At this number, the one that has been idle longest is
    /// closed for a new one, which is refused if none is idle.
    pub(crate) max_connections: usize,
    /// Limits on each connection; a change applies to open connections too.
    pub(crate) limits: watch::Receiver<CallerLimits>,
    /// Limit on the bytes of all requests that have been received and not answered yet.
    pub(crate) request_budget: ByteBudget,
    /// Counts the responses that have not been written.
    pub(crate) unsent: UnsentReplies,
    /// Whether the process has been asked to stop. Each connection then closes after the response
    /// to the last request received on it.
    pub(crate) shutting_down: watch::Receiver<bool>,
}

/// Serves connections until the process exits.
pub(crate) async fn serve<H: Handler>(options: ServerOptions, handler: H) {
    let listener = match listen(options.listen) {
        Ok(listener) => listener,
        Err(err) => {
            let addr = options.listen;
            spdlog::critical!("cannot listen on {addr}: {err}; choose a free address");
            std::process::exit(1);
        }
    };
    let table = ConnectionTable::new(options.max_connections);
    let refuser = Refuser::new(options.unsent.clone());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                spdlog::warn!("cannot accept a connection: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        counter!("poplartrail_connections_total").increment(1);
        if let Err(err) = stream.set_nodelay(true) {
            spdlog::debug!("connection lost before it was served: {err}");
            continue;
        }
        match table.admit() {
            Some(entry) => {
                let connection = Connection::new(stream, entry, handler.clone(), options.clone());
                tokio::spawn(connection.serve());
            }
            None => refuser.refuse(stream),
        }
    }
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
