//! The tenants of a plan, indexed to find whose request it is.

use crate::{
    changes::PlanChanges,
    tenant::{KeyDigest, Tenant},
};
use std::collections::{BTreeMap, HashMap};

/// The tenants of a plan, found by name or by the digest of a key.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    /// By name.
    tenants: BTreeMap<String, Tenant>,
    /// The names of tenants by the digests of their keys.
    names_by_key: HashMap<KeyDigest, String>,
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
    }

    fn remove(&mut self, name: &str) {
        if let Some(tenant) = self.tenants.remove(name) {
            for key in &tenant.keys {
                self.names_by_key.remove(key);
            }
        }
    }

    /// Whether the plan declares no tenant, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
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
