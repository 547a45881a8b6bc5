//! What the platform log and the nodes say.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use poplartrail_core::{
    config::ConfigState,
    engine::{LogBatch, StreamId},
    member::{Member, Membership},
    names::{ServiceName, SiteName},
    time::WallTime,
};
use poplartrail_http::{HttpClient, LogClient, LogError, build_client, get};
use poplartrail_platform::store::MEMBERS_TOPIC;
use poplartrail_settings::document::{BaseDocument, SiteDocuments};
use poplartrail_store::{StoreClient, StoreError};
use poplartrail_wire::member::decode_member_record;
use quick_error::quick_error;
use tokio::sync::Semaphore;

use crate::options::Registry;

/// Time after which a request to the log or the store counts as unanswered.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a node counts as out of reach.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);
/// Nodes that are asked for a page at once.
const PAGES_AT_ONCE: usize = 64;
/// Idle connections to a node, each of which is asked once.
const MAX_IDLE: usize = 0;
/// Largest page of a node.
const MAX_PAGE: usize = 64 << 20;

/// A reader of the platform log that folds what it reads.
pub(crate) struct FleetReader {
    pub(crate) log: LogClient,
    pub(crate) history: ConfigState,
    pub(crate) log_now: WallTime,
    check: SiteDocuments,
    rosters: BTreeMap<ServiceName, Membership>,
}

impl FleetReader {
    pub(crate) fn new(addr: SocketAddr) -> Result<Self, LogError> {
        // The check looks at all sites alike; the name only selects whose policy is asked for.
        let site = SiteName::new("all").expect("the constant is a valid name");
        Ok(Self {
            log: LogClient::new(addr, LOG_TIMEOUT)?,
            history: ConfigState::new(),
            log_now: WallTime::default(),
            check: SiteDocuments::new(site),
            rosters: BTreeMap::new(),
        })
    }

    /// Reads the configuration stream to its end.
    pub(crate) async fn read_config(&mut self) -> Result<(), LogError> {
        loop {
            let cursors = [(StreamId::Config, self.history.next_offset())];
            let pages = self.log.read(&cursors).await?;
            self.log_now = pages.now;
            let mut has_more = false;
            for batch in pages.batches {
                let LogBatch::Config { oldest, records } = batch else { continue };
                self.history.observe_oldest(oldest);
                for record in &records {
                    self.history.apply(record.offset, record.at, &record.body, &self.check);
                    has_more = true;
                }
            }
            if !has_more {
                return Ok(());
            }
        }
    }

    /// Services of the base file in force.
    fn services(&self) -> Vec<ServiceName> {
        let base = self.history.documents().get(&poplartrail_core::config::DocumentId::Base);
        let base = base.and_then(|document| BaseDocument::parse(&document.text).ok());
        let parts = base.map(|base| base.service).unwrap_or_default();
        parts.iter().filter_map(|part| ServiceName::new(&part.name).ok()).collect()
    }

    /// All members that the log announces and that have not gone; reads on from the last call.
    pub(crate) async fn members(&mut self) -> Result<Vec<Member>, LogError> {
        self.read_config().await?;
        let services = self.services();
        self.rosters.retain(|name, _| services.contains(name));
        for name in services {
            self.rosters.entry(name).or_default();
        }
        loop {
            let cursors: Vec<(StreamId, u64)> = self
                .rosters
                .iter()
                .map(|(name, roster)| (StreamId::Members(name.clone()), roster.next_offset()))
                .collect();
            if cursors.is_empty() {
                return Ok(Vec::new());
            }
            let pages = self.log.read(&cursors).await?;
            let mut has_more = false;
            for batch in pages.batches {
                let LogBatch::Members { service, oldest, records } = batch else { continue };
                let Some(roster) = self.rosters.get_mut(&service) else { continue };
                roster.observe_oldest(oldest.0, oldest.1);
                for record in &records {
                    has_more |= roster.apply(record.offset, record.at, &record.body);
                }
                roster.observe_log_time(pages.now);
            }
            if !has_more {
                break;
            }
        }
        let mut members: Vec<Member> = Vec::new();
        for roster in self.rosters.values_mut() {
            drop(roster.remove_expired());
            members.extend(roster.iter().map(|entry| entry.member.clone()));
        }
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        Ok(members)
    }
}

quick_error! {
    /// The nodes cannot be found.
    #[derive(Debug)]
    pub enum RegistryError {
        /// The platform log does not tell.
        Log(err: LogError) {
            from()
            display("{}", err)
        }
        /// The platform's store does not tell.
        Store(err: StoreError) {
            from()
            display("{}: check the address given with --store", err)
        }
    }
}

/// The members that `registry` lists.
pub(crate) async fn members_at(registry: &Registry) -> Result<Vec<Member>, RegistryError> {
    match registry {
        Registry::Log { log } => Ok(FleetReader::new(*log)?.members().await?),
        Registry::Store { store } => {
            let newest =
                StoreClient::new(*store).newest_records(MEMBERS_TOPIC, LOG_TIMEOUT).await?;
            let members = newest.records.iter().filter_map(|record| {
                // What another writer left names no node.
                decode_member_record(&record.value).ok().map(|record| record.member)
            });
            let mut members: Vec<Member> = members.collect();
            members.sort_by(|a, b| a.vm.cmp(&b.vm));
            Ok(members)
        }
    }
}

/// Reads the page `path` of each member and hands it over; `None` for one that is out of reach.
///
/// Few are asked at once, so a large fleet takes neither all connections that the tool may open
/// nor the memory for all pages.
pub(crate) async fn pages(
    members: &[Member],
    path: &'static str,
    mut take: impl FnMut(&Member, Option<String>),
) {
    let Ok(client) = build_client(MAX_IDLE) else {
        return members.iter().for_each(|member| take(member, None));
    };
    let (client, turns) = (Arc::new(client), Arc::new(Semaphore::new(PAGES_AT_ONCE)));
    let ask = |member: &Member| {
        let (client, turns, addr) = (client.clone(), turns.clone(), member.report_addr);
        tokio::spawn(async move {
            let _turn = turns.acquire().await.ok()?;
            page(&client, addr, path).await
        })
    };
    let tasks: Vec<_> = members.iter().map(ask).collect();
    for (member, task) in members.iter().zip(tasks) {
        take(member, task.await.ok().flatten());
    }
}

async fn page(client: &HttpClient, addr: SocketAddr, path: &str) -> Option<String> {
    let page = get(client, addr, path, MAX_PAGE);
    let page = tokio::time::timeout(NODE_TIMEOUT, page).await.ok().flatten()?;
    String::from_utf8(page.to_vec()).ok()
}
