//! How declared resources differ from what files declare.

use api::ChangeBody;
use serde::Serialize;
use serde_json::Value;
use state::Item;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// One difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Difference {
    /// Only the files declare it.
    Created {
        /// The resource, as `kind/name`.
        key: String,
    },
    /// A field has another value.
    Changed {
        /// The resource, as `kind/name`.
        key: String,
        /// The field.
        field: String,
        /// The value in force.
        old: Value,
        /// The value in the files.
        new: Value,
    },
    /// The files don't declare it.
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

/// What `apply --prune` of the files would change.
///
/// # Errors
///
/// The serializer's, when a resource can't be written as JSON.
pub fn differences(
    declared: &[Item],
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
