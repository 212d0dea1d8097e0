//! Compares the declared resources with the declarations of files.

use api::ChangeBody;
use serde::Serialize;
use serde_json::Value;
use state::ResourceItem;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// One difference between the declared resources and the files.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Difference {
    /// A resource that only the files declare.
    Created {
        /// The resource, as `kind/name`.
        key: String,
    },
    /// A field whose value in the files differs from the declared one.
    Changed {
        /// The resource, as `kind/name`.
        key: String,
        /// The name of a field of the resource's spec.
        field: String,
        /// The declared value; null when the field is absent.
        old: Value,
        /// The value in the files; null when the field is absent.
        new: Value,
    },
    /// A declared resource that is in none of the files.
    Withdrawn {
        /// The resource, as `kind/name`.
        key: String,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Created { key } => write!(f, "+ {key}"),
            Self::Changed {
                key,
                field,
                old,
                new,
            } => write!(f, "~ {key} {field}: {old} -> {new}"),
            Self::Withdrawn { key } => write!(f, "- {key}"),
        }
    }
}

/// The changes that `apply --prune` of the files would make.
///
/// # Errors
///
/// [`serde_json::Error`] when a declared resource can't be written as JSON.
pub fn differences(
    declared: &[ResourceItem],
    files: &[ChangeBody],
) -> Result<Vec<Difference>, serde_json::Error> {
    let mut specs: BTreeMap<String, Value> = BTreeMap::new();
    for item in declared {
        let mut tagged = serde_json::to_value(&item.resource.spec)?;
        specs.insert(item.resource.key().to_string(), tagged["spec"].take());
    }
    let mut differences = Vec::new();
    for change in files {
        let key = format!("{}/{}", change.kind, change.name);
        match specs.remove(&key) {
            None => differences.push(Difference::Created { key }),
            Some(old) => differences.extend(changed_fields(&key, &old, &change.spec)),
        }
    }
    let withdrawn = specs.into_keys().map(|key| Difference::Withdrawn { key });
    differences.extend(withdrawn);
    Ok(differences)
}

fn changed_fields(key: &str, old: &Value, new: &Value) -> Vec<Difference> {
    let fields: BTreeSet<&String> = [old, new]
        .into_iter()
        .filter_map(Value::as_object)
        .flat_map(serde_json::Map::keys)
        .collect();
    fields
        .into_iter()
        .filter(|field| old[*field] != new[*field])
        .map(|field| Difference::Changed {
            key: key.to_owned(),
            field: field.clone(),
            old: old[field].clone(),
            new: new[field].clone(),
        })
        .collect()
}
