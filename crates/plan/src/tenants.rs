//! The tenants of a plan, indexed to find whose request it is.

use crate::{
    changes::PlanChanges,
    tenant::{KeyDigest, KeyUse, Tenant},
};
use std::collections::{BTreeMap, HashMap};

/// The tenants of a plan, found by name or by the digest of a key.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    /// By name.
    tenants: BTreeMap<String, Tenant>,
    /// The names of tenants by the digests of their keys.
    names_by_key: HashMap<KeyDigest, String>,
    keys: KeyUse,
}

impl TenantTable {
    /// Applies the changes from the plan that the table holds to a later one.
    pub fn apply(&mut self, changes: &PlanChanges) {
        if changes.complete {
            *self = Self::default();
        }
        // A key may move from one tenant to another, so all changed tenants are removed before any is
        // added.
        let changed = changes.tenants.iter().map(|tenant| &tenant.name);
        for name in changes.removed_tenants.iter().chain(changed) {
            self.remove(name);
        }
        for tenant in &changes.tenants {
            for key in &tenant.keys {
                self.names_by_key.insert(*key, tenant.name.clone());
            }
            self.tenants.insert(tenant.name.clone(), tenant.clone());
        }
        // Changes of builds without `keys` list tenants without saying that keys are required.
        self.keys = match self.tenants.is_empty() {
            true => changes.keys,
            false => KeyUse::Required,
        };
    }

    fn remove(&mut self, name: &str) {
        if let Some(tenant) = self.tenants.remove(name) {
            for key in &tenant.keys {
                self.names_by_key.remove(key);
            }
        }
    }

    /// Whether requests carry a key.
    #[must_use]
    pub const fn key_use(&self) -> KeyUse {
        self.keys
    }

    /// The tenant that holds a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Tenant> {
        self.get(self.names_by_key.get(key)?)
    }

    /// The tenant of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Tenant> {
        self.tenants.get(name)
    }

    /// All tenants, in the order of their names.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values()
    }
}
