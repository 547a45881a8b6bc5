//! Reads configuration and members from the platform log, members from the store, and report pages
//! (status, events) from nodes over HTTP.

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
use poplartrail_settings::document::{BaseDocument, SitePolicySource};
use poplartrail_store::{StoreClient, StoreError};
use poplartrail_wire::member::decode_member_record;
use quick_error::quick_error;
use tokio::sync::Semaphore;

use crate::options::Registry;

/// Timeout of a request to the platform log or the store.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a whole report page after which a node counts as out of reach.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most nodes that are asked for a report page at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Idle connections kept to a node: none, as each node is asked once.
const MAX_IDLE_CONNECTIONS: usize = 0;
/// Largest report page of a node.
const MAX_PAGE_BYTES: usize = 64 << 20;

/// Reader of the platform log that folds its records into configuration and memberships.
pub(crate) struct FleetReader {
    pub(crate) log: LogClient,
    pub(crate) config_state: ConfigState,
    pub(crate) log_now: WallTime,
    document_check: SitePolicySource,
    memberships: BTreeMap<ServiceName, Membership>,
}

impl FleetReader {
    pub(crate) fn new(addr: SocketAddr) -> Result<Self, LogError> {
        // `SiteDocuments` checks the documents of every site, whatever its site name. The name
        // only selects the policy that it returns, which is not used here: a placeholder.
        let site = SiteName::new("all").expect("the constant is a valid name");
        Ok(Self {
            log: LogClient::new(addr, LOG_TIMEOUT)?,
            config_state: ConfigState::new(),
            log_now: WallTime::default(),
            document_check: SitePolicySource::new(site),
            memberships: BTreeMap::new(),
        })
    }

    /// Reads the configuration stream to its end.
    pub(crate) async fn read_config(&mut self) -> Result<(), LogError> {
        loop {
            let cursors = [(StreamId::Config, self.config_state.next_offset())];
            let response = self.log.read(&cursors).await?;
            self.log_now = response.log_now;
            let mut has_more = false;
            for batch in response.batches {
                let LogBatch::Config { oldest, records } = batch else { continue };
                self.config_state.observe_oldest(oldest);
                for record in &records {
                    self.config_state.apply(
                        record.offset,
                        record.at,
                        &record.body,
                        &self.document_check,
                    );
                    has_more = true;
                }
            }
            if !has_more {
                return Ok(());
            }
        }
    }

    /// Returns the services of the base file in force.
    fn services(&self) -> Vec<ServiceName> {
        let base = self.config_state.documents().get(&poplartrail_core::config::DocumentId::Base);
        let base = base.and_then(|document| BaseDocument::parse(&document.text).ok());
        let services = base.map(|base| base.service).unwrap_or_default();
        services.iter().filter_map(|service| ServiceName::new(&service.name).ok()).collect()
    }

    /// Returns the members in the log that have not expired. Reads only records that are newer
    /// than the last call.
    pub(crate) async fn members(&mut self) -> Result<Vec<Member>, LogError> {
        self.read_config().await?;
        let services = self.services();
        self.memberships.retain(|name, _| services.contains(name));
        for name in services {
            self.memberships.entry(name).or_default();
        }
        loop {
            let cursors: Vec<(StreamId, u64)> = self
                .memberships
                .iter()
                .map(|(name, membership)| {
                    (StreamId::Members(name.clone()), membership.next_offset())
                })
                .collect();
            if cursors.is_empty() {
                return Ok(Vec::new());
            }
            let response = self.log.read(&cursors).await?;
            let mut has_more = false;
            for batch in response.batches {
                let LogBatch::Members { service, oldest: (oldest_offset, oldest_at), records } =
                    batch
                else {
                    continue;
                };
                let Some(membership) = self.memberships.get_mut(&service) else { continue };
                membership.observe_oldest(oldest_offset, oldest_at);
                for record in &records {
                    has_more |= membership.apply(record.offset, record.at, &record.body);
                }
                membership.observe_log_time(response.log_now);
            }
            if !has_more {
                break;
            }
        }
        let mut members: Vec<Member> = Vec::new();
        for membership in self.memberships.values_mut() {
            drop(membership.remove_expired());
            members.extend(membership.iter().map(|entry| entry.member.clone()));
        }
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        Ok(members)
    }
}

quick_error! {
    /// Failure to list the nodes.
    #[derive(Debug)]
    pub enum RegistryError {
        /// The platform log cannot be read.
        Log(err: LogError) {
            from()
            display("{}", err)
        }
        /// The store of the hosting platform cannot be read.
        Store(err: StoreError) {
            from()
            display("{}: check the address given with --store", err)
        }
    }
}

/// Returns the members that `registry` lists, ordered by VM.
pub(crate) async fn list_members(registry: &Registry) -> Result<Vec<Member>, RegistryError> {
    match registry {
        Registry::Log { log } => Ok(FleetReader::new(*log)?.members().await?),
        Registry::Store { store } => {
            let newest =
                StoreClient::new(*store).newest_records(MEMBERS_TOPIC, LOG_TIMEOUT).await?;
            let members = newest.records.iter().filter_map(|record| {
                // The topic may hold records of other writers, which describe no node.
                decode_member_record(&record.value).ok().map(|record| record.member)
            });
            let mut members: Vec<Member> = members.collect();
            members.sort_by(|a, b| a.vm.cmp(&b.vm));
            Ok(members)
        }
    }
}

/// Requests the report page at `path` from each member and calls `handle_page` with it, or with
/// `None` for a member that is out of reach.
///
/// The number of concurrent requests is limited, so that a large fleet does not exhaust the limit
/// on open files. Pages stay in memory until the pages of all previous members are handled.
pub(crate) async fn fetch_pages(
    members: &[Member],
    path: &'static str,
    mut handle_page: impl FnMut(&Member, Option<String>),
) {
    let Ok(client) = build_client(MAX_IDLE_CONNECTIONS) else {
        return members.iter().for_each(|member| handle_page(member, None));
    };
    let (client, semaphore) = (Arc::new(client), Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS)));
    let spawn_fetch = |member: &Member| {
        let (client, semaphore, addr) = (client.clone(), semaphore.clone(), member.report_addr);
        tokio::spawn(async move {
            let _permit = semaphore.acquire().await.ok()?;
            fetch_page(&client, addr, path).await
        })
    };
    let tasks: Vec<_> = members.iter().map(spawn_fetch).collect();
    for (member, task) in members.iter().zip(tasks) {
        handle_page(member, task.await.ok().flatten());
    }
}

async fn fetch_page(client: &HttpClient, addr: SocketAddr, path: &str) -> Option<String> {
    let page = get(client, addr, path, MAX_PAGE_BYTES);
    let page = tokio::time::timeout(NODE_TIMEOUT, page).await.ok().flatten()?;
    String::from_utf8(page.to_vec()).ok()
}
