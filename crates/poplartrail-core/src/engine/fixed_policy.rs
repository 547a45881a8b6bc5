//! A policy source without documents.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    config::{Document, DocumentCheck, DocumentId},
    engine::{ClusterState, PolicySource},
    policy::Policy,
};

/// Keeps a node at its initial policy, for runs and tests without configuration.
#[derive(Debug, Clone, Copy, Default)]
pub struct FixedPolicy;

impl DocumentCheck for FixedPolicy {
    fn check(
        &self,
        _before: &BTreeMap<DocumentId, Document>,
        _after: &BTreeMap<DocumentId, Document>,
    ) -> Result<(), Arc<str>> {
        Ok(())
    }
}

impl PolicySource for FixedPolicy {
    fn policy(&self, _cluster: &ClusterState) -> Option<Policy> {
        None
    }
}
