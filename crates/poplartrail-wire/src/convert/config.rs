//! Records of the configuration stream in the platform log.

use std::sync::Arc;

use poplartrail_core::{
    config::{Change, ChangeId, ConfigRecord, Document, DocumentId, Snapshot},
    names::{OperatorName, SiteName},
};
use prost::Message;

use crate::{WireError, convert, generated as wire};

/// Encodes a record of the configuration stream.
pub fn encode_config_record(record: &ConfigRecord) -> Vec<u8> {
    let body = match record {
        ConfigRecord::Change(change) => wire::config_step::Body::Change(change_to_wire(change)),
        ConfigRecord::Snapshot(snapshot) => {
            wire::config_step::Body::Snapshot(snapshot_to_wire(snapshot))
        }
    };
    wire::ConfigStep { body: Some(body) }.encode_to_vec()
}

/// Decodes a record of the configuration stream.
pub fn decode_config_record(bytes: &[u8]) -> Result<ConfigRecord, WireError> {
    let message: wire::ConfigStep = convert::decode_message(bytes)?;
    Ok(match message.body.ok_or(WireError::MissingField("ConfigStep.body"))? {
        wire::config_step::Body::Change(change) => ConfigRecord::Change(change_from_wire(change)?),
        wire::config_step::Body::Snapshot(snapshot) => {
            ConfigRecord::Snapshot(snapshot_from_wire(snapshot)?)
        }
    })
}

fn change_to_wire(change: &Change) -> wire::Change {
    wire::Change {
        id: change.id.0.to_be_bytes().to_vec().into(),
        document: Some(document_id_to_wire(&change.document)),
        made_against: change.expected_version,
        author: change.author.to_string(),
        text: change.text.to_string(),
    }
}

fn change_from_wire(change: wire::Change) -> Result<Change, WireError> {
    Ok(Change {
        id: ChangeId(convert::decode_u128(&change.id, "change")?),
        document: document_id_from_wire(
            &change.document.ok_or(WireError::MissingField("Change.document"))?,
        )?,
        expected_version: change.made_against,
        author: OperatorName::new(&change.author)?,
        text: Arc::from(change.text),
    })
}

pub(crate) fn snapshot_to_wire(snapshot: &Snapshot) -> wire::ConfigSnapshot {
    let documents = snapshot.documents.iter().map(|(id, document)| wire::Document {
        id: Some(document_id_to_wire(id)),
        version: document.version,
        change: document.change.0.to_be_bytes().to_vec().into(),
        author: document.author.to_string(),
        text: document.text.to_string(),
    });
    wire::ConfigSnapshot {
        next_offset: snapshot.next_offset,
        version: snapshot.version,
        documents: documents.collect(),
        site: snapshot.site_document.clone(),
    }
}

pub(crate) fn snapshot_from_wire(snapshot: wire::ConfigSnapshot) -> Result<Snapshot, WireError> {
    let documents = snapshot.documents.into_iter().map(|document| {
        let id =
            document_id_from_wire(&document.id.ok_or(WireError::MissingField("Document.id"))?)?;
        let change = ChangeId(convert::decode_u128(&document.change, "change")?);
        let author = OperatorName::new(&document.author)?;
        let text = Arc::from(document.text);
        Ok((id, Document { version: document.version, change, author, text }))
    });
    Ok(Snapshot {
        next_offset: snapshot.next_offset,
        version: snapshot.version,
        documents: documents.collect::<Result<_, WireError>>()?,
        site_document: snapshot.site,
    })
}

fn document_id_to_wire(id: &DocumentId) -> wire::DocumentId {
    match id {
        DocumentId::Base => wire::DocumentId { site: String::new() },
        DocumentId::Overlay(site) => wire::DocumentId { site: site.to_string() },
    }
}

fn document_id_from_wire(id: &wire::DocumentId) -> Result<DocumentId, WireError> {
    if id.site.is_empty() {
        return Ok(DocumentId::Base);
    }
    Ok(DocumentId::Overlay(SiteName::new(&id.site)?))
}
