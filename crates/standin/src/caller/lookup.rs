//! A caller's cached look-up answer, and the choice of an entry from it by weight.

use crate::http::{HttpError, get};
use hyper::StatusCode;
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::time::Instant;
use types::{EntryName, LookupAnswer, LookupEntry, ServiceName};

/// The timeout of a look-up at one entry.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a look-up at one entry failed.
#[derive(Debug, Error)]
pub(super) enum LookupError {
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("the entry answered the look-up with status {0}")]
    Status(StatusCode),
    #[error("the body is not a look-up answer")]
    Answer(#[from] serde_json::Error),
}

#[derive(Debug)]
struct Cached {
    answer: LookupAnswer,
    expires: Instant,
    failed: BTreeSet<EntryName>,
}

#[derive(Debug)]
pub(super) struct LookupCache {
    service: ServiceName,
    entries: Vec<SocketAddr>,
    entry_index: usize,
    cached: Option<Cached>,
}

impl LookupCache {
    pub(super) fn new(service: &ServiceName, entries: &[SocketAddr], first: usize) -> Self {
        Self {
            service: service.clone(),
            entries: entries.to_vec(),
            entry_index: first,
            cached: None,
        }
    }

    /// Chooses an entry by weight. It looks up again if the answer has expired or no entry in it is
    /// usable.
    pub(super) async fn choose(&mut self) -> Option<LookupEntry> {
        let is_usable = self.cached.as_ref().is_some_and(Cached::usable);
        if !is_usable {
            self.refresh().await;
        }
        let cached = self.cached.as_ref()?;
        pick(&cached.answer.entries, &cached.failed, rand::random()).cloned()
    }

    /// Excludes an entry until the next look-up.
    pub(super) fn avoid(&mut self, entry: &EntryName) {
        if let Some(cached) = self.cached.as_mut() {
            cached.failed.insert(entry.clone());
        }
    }

    /// Sends the look-up to one entry after another until one answers. The next look-up starts with
    /// that entry.
    async fn refresh(&mut self) {
        self.cached = None;
        for _ in 0..self.entries.len() {
            let address = self.entries[self.entry_index % self.entries.len()];
            if let Ok(answer) = look_up(address, &self.service).await {
                self.cached = Some(Cached::new(answer));
                return;
            }
            self.entry_index += 1;
        }
    }
}

impl Cached {
    fn new(answer: LookupAnswer) -> Self {
        Self {
            expires: Instant::now() + Duration::from_millis(answer.lifetime_ms),
            answer,
            failed: BTreeSet::new(),
        }
    }

    fn usable(&self) -> bool {
        let entries = self.answer.entries.iter();
        Instant::now() < self.expires
            && entries
                .filter(|entry| !self.failed.contains(&entry.name))
                .any(|entry| entry.weight > 0)
    }
}

async fn look_up(address: SocketAddr, service: &ServiceName) -> Result<LookupAnswer, LookupError> {
    let path = format!("/v1/lookup/{service}");
    let (status, body) = get(address, &path, ANSWER_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(LookupError::Status(status));
    }
    Ok(serde_json::from_value(body)?)
}

/// Chooses one of the entries that are not in `failed`, in proportion to their weights. `None` if
/// the weights sum to zero.
#[must_use]
pub fn pick<'a>(
    entries: &'a [LookupEntry],
    failed: &BTreeSet<EntryName>,
    random: u64,
) -> Option<&'a LookupEntry> {
    let usable = || entries.iter().filter(|entry| !failed.contains(&entry.name));
    let total: u64 = usable().map(|entry| u64::from(entry.weight)).sum();
    let mut remaining = random.checked_rem(total)?;
    for entry in usable() {
        let weight = u64::from(entry.weight);
        if remaining < weight {
            return Some(entry);
        }
        remaining -= weight;
    }
    None
}
