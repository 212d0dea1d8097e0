//! How changed tenants reach a gateway, and which tenants are rejected.

use plan::{
    Change, Document, InvalidPlan, KeyDigest, KeyUse, Limits, Plan, PlanChanges, PlanDeclaration,
    Steering, Tenant, TenantTable,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: None,
        rate_milli_per_s: 0,
        burst: 0,
        home_regions: Vec::new(),
    }
}

fn plan(version: u64, tenants: Vec<Tenant>) -> Plan {
    Plan {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits {
            header_max_bytes: 16_384,
            body_max_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants,
        keys: KeyUse::Unused,
    }
}

fn declare(steering: &mut Steering, index: u64, tenants: Vec<Tenant>) {
    declare_plan(steering, index, plan(index, tenants));
}

/// Declares a plan with this table of tenants; `None` stands for no table.
fn declare_table(steering: &mut Steering, index: u64, table: Option<Vec<Tenant>>) {
    let keys = match table {
        Some(_) => KeyUse::Required,
        None => KeyUse::Unused,
    };
    let plan = plan(index, table.unwrap_or_default());
    declare_plan(steering, index, Plan { keys, ..plan });
}

fn declare_plan(steering: &mut Steering, index: u64, plan: Plan) {
    let declaration = PlanDeclaration {
        based_on: steering.version(),
        document: Document::Own,
        plan,
    };
    let change = Change::Declare(Box::new(declaration));
    let applied = steering.apply(index, 0, &change);
    applied.expect("the plan is valid");
}

fn changes(steering: &Steering, index: u64) -> PlanChanges {
    let changes = steering.changes_since(index);
    changes.plan.expect("the plan changed")
}

fn holder(table: &TenantTable, key: &str) -> Option<String> {
    let tenant = table.find(&KeyDigest::of(key));
    tenant.map(|tenant| tenant.name.clone())
}

#[test]
fn tenants_reach_a_gateway_whole_and_by_difference() {
    let mut steering = Steering::default();
    let mut table = TenantTable::default();
    let first = vec![tenant("acme", &["k1", "k2"]), tenant("zeta", &["k3"])];
    declare(&mut steering, 4, first.clone());
    let whole = changes(&steering, 0);
    assert!(whole.complete && whole.tenants == first);
    table.apply(&whole);
    assert_eq!(holder(&table, "k2").as_deref(), Some("acme"));

    // A key moves to another tenant, one is withdrawn, and a tenant is new.
    let second = vec![
        tenant("acme", &["k1"]),
        tenant("beta", &["k5"]),
        tenant("zeta", &["k2", "k4"]),
    ];
    declare(&mut steering, 7, second);
    table.apply(&changes(&steering, 4));
    let holders = ["k1", "k2", "k3", "k4", "k5"].map(|key| holder(&table, key));
    let expected = [Some("acme"), Some("zeta"), None, Some("zeta"), Some("beta")];
    assert_eq!(holders, expected.map(|it| it.map(str::to_owned)));

    // Only what changed is sent, and a removed tenant takes its keys with it.
    declare(
        &mut steering,
        9,
        vec![tenant("acme", &["k1"]), tenant("beta", &["k5"])],
    );
    let difference = changes(&steering, 7);
    assert!(!difference.complete && difference.tenants.is_empty());
    assert_eq!(difference.removed_tenants, ["zeta"]);
    table.apply(&difference);
    assert_eq!(holder(&table, "k4"), None);
    assert_eq!(table.tenants().count(), 2);
}

// A replica of an older build sends no tenants; its answer must be readable.
#[test]
fn changes_of_an_older_build_have_no_tenants() {
    let mut json = serde_json::to_value(PlanChanges::whole(&plan(1, Vec::new()))).expect("JSON");
    let fields = json.as_object_mut().expect("an object");
    fields.remove("tenants");
    fields.remove("removed_tenants");
    let changes: PlanChanges = serde_json::from_value(json).expect("valid changes");
    assert!(changes.tenants.is_empty() && changes.removed_tenants.is_empty());
}

#[test]
fn a_tenant_in_json_needs_no_more_than_its_name_and_digests() {
    let digest = KeyDigest::of("k1").to_string();
    let json = serde_json::json!({"name": "acme", "keys": [digest]});
    let read: Tenant = serde_json::from_value(json).expect("a valid tenant");
    assert_eq!(read, tenant("acme", &["k1"]));
}

// The replicas would differ if a part of a rejected plan were applied.
#[test]
fn nothing_of_a_plan_with_an_empty_duplicate_or_shared_key_is_applied() {
    let mut steering = Steering::default();
    declare(&mut steering, 3, vec![tenant("acme", &["k1"])]);
    for (tenants, expected) in [
        (
            vec![tenant("acme", &["k1", ""])],
            "key 2 of tenant acme is empty",
        ),
        (
            vec![tenant("acme", &["k1", "k1"])],
            "key 2 of tenant acme is also key 1 of tenant acme",
        ),
        (
            vec![tenant("acme", &["k1"]), tenant("zeta", &["k2", "k1"])],
            "key 2 of tenant zeta is also key 1 of tenant acme",
        ),
        (
            vec![tenant("acme", &["k1"]), tenant("acme", &["k2"])],
            "two tenants have the name acme",
        ),
        (
            vec![tenant("two words", &["k1"])],
            r#"tenant "two words" has no name of 1 to 255 visible ASCII characters"#,
        ),
    ] {
        let before = steering.clone();
        let declaration = PlanDeclaration {
            based_on: 3,
            document: Document::Own,
            plan: plan(4, tenants),
        };
        let change = Change::Declare(Box::new(declaration));
        let error = steering.apply(8, 0, &change).expect_err(expected);
        assert_eq!(error.to_string(), expected);
        assert!(before == steering);
    }
}

// A plan whose table had become empty, or was missing, counted as one that had never had tenants: keys
// that it had withdrawn were let in and passed on to upstreams (review/14).
#[test]
fn keys_stay_in_use_when_the_last_tenant_is_withdrawn() {
    let acme = || vec![tenant("acme", &["k1"])];
    for (tables, expected) in [
        (vec![None], KeyUse::Unused),
        (vec![Some(Vec::new())], KeyUse::Required),
        (vec![Some(acme()), Some(Vec::new())], KeyUse::Required),
        (vec![Some(acme()), None], KeyUse::Withdrawn),
        (vec![Some(acme()), None, None], KeyUse::Withdrawn),
        (vec![Some(acme()), None, Some(acme())], KeyUse::Required),
    ] {
        let mut steering = Steering::default();
        let mut table = TenantTable::default();
        for (index, tenants) in (1..).zip(tables.clone()) {
            declare_table(&mut steering, index, tenants);
            table.apply(&changes(&steering, index - 1));
        }
        assert_eq!(table.key_use(), expected, "{tables:?}");
        assert_eq!(
            steering.plan().map(Plan::key_use),
            Some(expected),
            "{tables:?}"
        );
        let mut joining = TenantTable::default();
        joining.apply(&changes(&steering, 0));
        assert_eq!(joining.key_use(), expected, "{tables:?}");
    }
}

// Plans and changes of earlier builds don't say whether keys are required.
#[test]
fn keys_are_required_where_there_are_tenants_whatever_the_plan_says() {
    let mut steering = Steering::default();
    declare(&mut steering, 1, vec![tenant("acme", &["k1"])]);
    let mut json = serde_json::to_value(changes(&steering, 0)).expect("it has a JSON form");
    json.as_object_mut().expect("a table").remove("keys");
    let mut table = TenantTable::default();
    table.apply(&serde_json::from_value(json).expect("the form of earlier builds"));
    assert_eq!(table.key_use(), KeyUse::Required);
    declare(&mut steering, 2, Vec::new());
    assert_eq!(steering.plan().map(Plan::key_use), Some(KeyUse::Withdrawn));
}

// Keys and digests must not get into logs by way of `{:?}`.
#[test]
fn debug_output_shows_neither_keys_nor_digests() {
    let digest = KeyDigest::of("k1").to_string();
    let declaration = PlanDeclaration {
        based_on: 0,
        document: Document::Foreign("a manifest with the key k1".to_owned()),
        plan: plan(1, vec![tenant("acme", &["k1"])]),
    };
    let shared = InvalidPlan::SameKey {
        tenant: "acme".to_owned(),
        position: 1,
        other: "zeta".to_owned(),
        other_position: 2,
    };
    let text = format!("{declaration:?} {shared:?}");
    assert!(
        !text.contains("k1") && !text.contains(&digest[..8]),
        "{text}"
    );
}

#[test]
fn a_digest_is_64_hexadecimal_digits() {
    let digest = KeyDigest::of("k1");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    let digits = "0".repeat(64);
    for invalid in [
        "",
        "k1",
        &digits[1..],
        &digits.replacen('0', "g", 1),
        &digits.replacen("00", "é", 1),
        // The parser of numbers takes a sign.
        &digits.replacen("00", "+0", 1),
    ] {
        assert!(invalid.parse::<KeyDigest>().is_err(), "{invalid}");
    }
}

/// Generates which of a few keys each of a few tenants holds; each key has at most one holder.
fn holders() -> impl Strategy<Value = BTreeMap<u8, u8>> {
    prop::collection::btree_map(0..8_u8, 0..5_u8, 0..8)
}

fn tenants_of(holders: &BTreeMap<u8, u8>) -> Vec<Tenant> {
    let names: BTreeSet<u8> = holders.values().copied().collect();
    let tenants = names.into_iter().map(|name| {
        let keys = holders.iter().filter(|(_, holder)| **holder == name);
        let keys: Vec<String> = keys.map(|(key, _)| format!("k{key}")).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        tenant(&format!("t{name}"), &keys)
    });
    tenants.collect()
}

proptest! {
    /// A gateway that polls after only some of the plans still has the holders of the latest.
    #[test]
    fn skipped_revisions_lead_to_the_same_holders(
        plans in prop::collection::vec((holders(), any::<bool>(), any::<bool>()), 1..12),
    ) {
        let mut steering = Steering::default();
        let mut table = TenantTable::default();
        let mut applied_index = 0;
        let mut key_use = KeyUse::Unused;
        for ((holders, has_table, is_polled), index) in plans.into_iter().zip(1..) {
            let has_table = has_table || !holders.is_empty();
            declare_table(&mut steering, index, has_table.then(|| tenants_of(&holders)));
            key_use = match (has_table, key_use) {
                (true, _) => KeyUse::Required,
                (false, KeyUse::Unused) => KeyUse::Unused,
                (false, KeyUse::Withdrawn | KeyUse::Required) => KeyUse::Withdrawn,
            };
            if !is_polled {
                continue;
            }
            table.apply(&changes(&steering, applied_index));
            applied_index = index;
            for key in 0..8 {
                let expected = holders.get(&key).map(|name| format!("t{name}"));
                prop_assert_eq!(holder(&table, &format!("k{key}")), expected);
            }
            prop_assert_eq!(table.key_use(), key_use);
        }
    }
}
