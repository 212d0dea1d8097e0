//! The links of an entry to control replicas and other entries.

use entry::PeerAddress;
use link::{Event, Identity, LinkError, Outbound, dial};
use settings::ReplicaSettings;
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use types::{EntryName, ReplicaName};
use wire::peer::Frame;

/// Dialed links; a frame for a link that is down is dropped, since the core asks again.
#[derive(Debug)]
pub struct Links {
    identity: Identity,
    inbox: mpsc::Sender<Event>,
    replicas: BTreeMap<ReplicaName, Outbound>,
    peers: BTreeMap<EntryName, (PeerAddress, Outbound)>,
}

impl Links {
    /// Dials every control replica.
    ///
    /// # Errors
    ///
    /// When the identity holds no key.
    pub fn new(
        identity: Identity,
        inbox: mpsc::Sender<Event>,
        replicas: &[ReplicaSettings],
    ) -> Result<Self, LinkError> {
        let dialed = replicas.iter().map(|replica| {
            let name = replica.name.clone();
            let outbound = dial(
                replica.peer_address,
                Some(name.as_str()),
                identity.clone(),
                inbox.clone(),
            );
            Ok((name, outbound?))
        });
        let replicas = dialed.collect::<Result<_, LinkError>>()?;
        Ok(Self {
            identity,
            inbox,
            replicas,
            peers: BTreeMap::new(),
        })
    }

    /// Sends a frame to a control replica.
    pub fn send_replica(&self, name: &ReplicaName, frame: Frame) {
        if let Some(outbound) = self.replicas.get(name) {
            let _ = outbound.try_send(frame);
        }
    }

    /// Sends a frame to another entry.
    pub fn send_peer(&self, name: &EntryName, frame: Frame) {
        if let Some((_, outbound)) = self.peers.get(name) {
            let _ = outbound.try_send(frame);
        }
    }

    /// Dials entries that are new and hangs up on those that are gone.
    ///
    /// # Errors
    ///
    /// When the identity holds no key.
    pub fn declare_peers(&mut self, declared: &[PeerAddress]) -> Result<(), LinkError> {
        self.peers
            .retain(|_, (address, _)| declared.contains(address));
        for peer in declared {
            if self.peers.contains_key(&peer.name) {
                continue;
            }
            let (identity, inbox) = (self.identity.clone(), self.inbox.clone());
            let outbound = dial(peer.address, Some(peer.name.as_str()), identity, inbox)?;
            self.peers
                .insert(peer.name.clone(), (peer.clone(), outbound));
        }
        Ok(())
    }
}
