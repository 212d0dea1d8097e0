//! The bound that tenants' quotas keep, from the settings of gateways and control replicas.

use settings::BoundSettings;
use share::QuotaTerms;

/// The bound that `[bounds]` sets.
pub const fn quota_terms(bounds: &BoundSettings) -> QuotaTerms {
    QuotaTerms {
        window_ms: bounds.quota_window_ms,
        overage_milli: bounds.quota_overage_milli,
        slack_milli: bounds.quota_slack_milli,
    }
}
