//! The outbound links of an entry to control replicas and other entries.

use crate::replicas::ReplicaLinks;
use entry::PeerAddress;
use link::{DialerHandle, Event, Identity, LinkError, dial};
use settings::Settings;
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use types::{EntryName, ReplicaName};
use wire::peer::Frame;

/// Outbound links. A frame for a link that is down or whose queue is full is dropped, since the
/// core sends again.
#[derive(Debug)]
pub struct Links {
    identity: Identity,
    inbox: mpsc::Sender<Event>,
    replicas: ReplicaLinks,
    peers: BTreeMap<EntryName, (PeerAddress, DialerHandle)>,
}

impl Links {
    /// Dials every control replica that the settings declare.
    ///
    /// # Errors
    ///
    /// When the identity holds no key.
    pub fn new(
        settings: &Settings,
        identity: Identity,
        inbox: mpsc::Sender<Event>,
    ) -> Result<Self, LinkError> {
        let declared = settings.replicas.iter().map(|it| it.name.to_string());
        let mut replicas = ReplicaLinks::new(settings, identity.clone(), inbox.clone());
        replicas.set_replicas(&declared.collect())?;
        Ok(Self {
            identity,
            inbox,
            replicas,
            peers: BTreeMap::new(),
        })
    }

    /// Queues a frame for a control replica, or drops it.
    pub fn send_replica(&self, name: &ReplicaName, frame: Frame) {
        self.replicas.send(name.as_str(), frame);
    }

    /// Queues a frame for another entry, or drops it.
    pub fn send_peer(&self, name: &EntryName, frame: Frame) {
        if let Some((_, dialer_handle)) = self.peers.get(name) {
            let _ = dialer_handle.try_send(frame);
        }
    }

    /// Dials the entries in `declared` that have no link yet, and closes the links to all others.
    /// An entry whose address changed is dialed again.
    ///
    /// # Errors
    ///
    /// When the identity holds no key.
    pub fn set_peers(&mut self, declared: &[PeerAddress]) -> Result<(), LinkError> {
        self.peers
            .retain(|_, (address, _)| declared.contains(address));
        for peer in declared {
            if self.peers.contains_key(&peer.name) {
                continue;
            }
            let (identity, inbox) = (self.identity.clone(), self.inbox.clone());
            let dialer_handle = dial(peer.address, Some(peer.name.as_str()), identity, inbox)?;
            self.peers
                .insert(peer.name.clone(), (peer.clone(), dialer_handle));
        }
        Ok(())
    }
}
