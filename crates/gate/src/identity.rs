//! Whose request it is, decided before anything else of the request.

use crate::api::{Arrival, Caller};
use plan::{KeyUse, Route, Tenant, TenantTable};
use types::RegionName;

/// The result of looking up the key of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Identity<'a> {
    /// No plan has had tenants.
    Untracked,
    /// The client sent no key, and the plan has no tenants any more.
    Keyless,
    /// The client sent no key, and the route accepts that.
    Anonymous,
    /// This tenant holds the key.
    Tenant(&'a Tenant),
    /// No tenant holds the key, or the client sent none and one is required.
    Unknown,
}

impl<'a> Identity<'a> {
    /// Looks up the key of a request to a route. A key that nobody holds is rejected also where none is
    /// wanted: the client believes that it has one.
    pub(crate) fn of(arrival: &Arrival<'_>, route: &Route, tenants: &'a TenantTable) -> Self {
        match (tenants.key_use(), &arrival.key) {
            (KeyUse::Unused, _) => Self::Untracked,
            (KeyUse::Withdrawn, None) => Self::Keyless,
            (KeyUse::Withdrawn, Some(_)) => Self::Unknown,
            (KeyUse::Required, Some(key)) => tenants.find(key).map_or(Self::Unknown, Self::Tenant),
            (KeyUse::Required, None) if route.allow_anonymous => Self::Anonymous,
            (KeyUse::Required, None) => Self::Unknown,
        }
    }

    /// The tenant, if there is one.
    pub(crate) const fn tenant(self) -> Option<&'a Tenant> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Untracked | Self::Keyless | Self::Anonymous | Self::Unknown => None,
        }
    }

    /// What the upstream is told; none for a request that is rejected.
    pub(crate) fn caller(self) -> Option<Caller> {
        match self {
            Self::Untracked => Some(Caller::Untracked),
            Self::Keyless => Some(Caller::Keyless),
            Self::Anonymous => Some(Caller::Anonymous),
            Self::Tenant(tenant) => Some(Caller::Tenant(tenant.name.clone())),
            Self::Unknown => None,
        }
    }
}

/// The regions that may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Homes {
    /// Every region.
    Any,
    /// These regions; none when the homes of route and tenant have no region in common.
    Only(Vec<RegionName>),
}

impl Homes {
    /// The homes of a route and of a tenant, which both bind.
    pub(crate) fn of(route: &Route, tenant: Option<&Tenant>) -> Self {
        let of_tenant = tenant.map_or(&[][..], |tenant| tenant.home_regions.as_slice());
        match (route.home_regions.as_slice(), of_tenant) {
            ([], []) => Self::Any,
            (homes, []) | ([], homes) => Self::Only(homes.to_vec()),
            (of_route, of_tenant) => {
                let common = of_route.iter().filter(|it| of_tenant.contains(it));
                Self::Only(common.cloned().collect())
            }
        }
    }

    /// Whether a region may run the request.
    pub(crate) fn contain(&self, region: &RegionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }
}
