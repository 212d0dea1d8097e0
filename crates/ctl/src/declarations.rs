//! Reads declarations from TOML files, in which each table `[kind.name]` declares a resource.

use api::ChangeBody;
use serde_json::json;
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};
use thiserror::Error;
use toml::{Table, Value};
use types::{Kind, ResourceName, Spec};

/// Why declarations or a plan can't be read from files.
#[derive(Debug, Error)]
pub enum DeclarationsError {
    /// A file or folder can't be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// Why the read failed.
        error: io::Error,
    },
    /// A file is not TOML, or not TOML of the expected form.
    #[error("{}: {error}", path.display())]
    Toml {
        /// The file of declarations, or the plan.
        path: PathBuf,
        /// The parser's error.
        error: Box<toml::de::Error>,
    },
    /// A table declares no valid resource.
    #[error("{}: [{table}] {fault}", path.display())]
    Table {
        /// The file that holds the table; for a duplicate, the one read later.
        path: PathBuf,
        /// The table's name, as `kind.name` or `kind`.
        table: String,
        /// What is wrong with it.
        fault: TableFault,
    },
    /// A folder holds no `*.toml` file.
    #[error("{}: no *.toml file", path.display())]
    Empty {
        /// The folder as given; its subfolders are not searched.
        path: PathBuf,
    },
}

/// What is wrong with a table.
#[derive(Debug, Error)]
pub enum TableFault {
    /// The first part of its name is not a kind of resource.
    #[error("is not a kind of resource")]
    UnknownKind,
    /// It is a value or an array, not a table of the form `[kind.name]`.
    #[error("is not a table of the form [kind.name]")]
    NotATable,
    /// The resource's name breaks the rules of names.
    #[error("has an invalid name")]
    Name,
    /// A field is missing, unknown or invalid for the kind.
    #[error("is invalid: {0}")]
    Fields(serde_json::Error),
    /// Another file declares the same resource.
    #[error("is also declared in {}", .0.display())]
    Duplicate(PathBuf),
}

/// Reads every declaration of the files and folders. The paths are read in the given order, the
/// `*.toml` files of a folder in the order of their names.
///
/// # Errors
///
/// [`DeclarationsError`] for the first invalid file.
pub fn read_declarations(paths: &[PathBuf]) -> Result<Vec<ChangeBody>, DeclarationsError> {
    let mut changes = Vec::new();
    let mut sources: BTreeMap<(String, String), PathBuf> = BTreeMap::new();
    for path in expand_folders(paths)? {
        let text = fs::read_to_string(&path).map_err(|error| DeclarationsError::Read {
            path: path.clone(),
            error,
        })?;
        for change in parse_declarations(&path, &text)? {
            let key = (change.kind.clone(), change.name.clone());
            if let Some(other) = sources.insert(key, path.clone()) {
                return Err(DeclarationsError::Table {
                    path,
                    table: format!("{}.{}", change.kind, change.name),
                    fault: TableFault::Duplicate(other),
                });
            }
            changes.push(change);
        }
    }
    Ok(changes)
}

/// Parses the declarations in the text of one file; `path` is only for the errors.
///
/// # Errors
///
/// [`DeclarationsError`] for the first invalid table.
pub fn parse_declarations(path: &Path, text: &str) -> Result<Vec<ChangeBody>, DeclarationsError> {
    let kinds: Table = text.parse().map_err(|error| DeclarationsError::Toml {
        path: path.to_owned(),
        error: Box::new(error),
    })?;
    let mut changes = Vec::new();
    for (kind, names) in &kinds {
        let in_table = |table: &str, fault| DeclarationsError::Table {
            path: path.to_owned(),
            table: table.to_owned(),
            fault,
        };
        let parsed_kind: Kind = kind
            .parse()
            .map_err(|_| in_table(kind, TableFault::UnknownKind))?;
        let names = names
            .as_table()
            .ok_or_else(|| in_table(kind, TableFault::NotATable))?;
        for (name, fields) in names {
            let change = parse_table(parsed_kind, name, fields)
                .map_err(|fault| in_table(&format!("{kind}.{name}"), fault))?;
            changes.push(change);
        }
    }
    Ok(changes)
}

fn parse_table(kind: Kind, name: &str, fields: &Value) -> Result<ChangeBody, TableFault> {
    if !fields.is_table() {
        return Err(TableFault::NotATable);
    }
    ResourceName::new(name).map_err(|_| TableFault::Name)?;
    let spec = serde_json::to_value(fields).map_err(TableFault::Fields)?;
    serde_json::from_value::<Spec>(json!({"kind": kind, "spec": spec}))
        .map_err(TableFault::Fields)?;
    Ok(ChangeBody {
        kind: kind.to_string(),
        name: name.to_owned(),
        spec,
        based_on: None,
    })
}

/// The paths with each folder replaced by its `*.toml` files.
fn expand_folders(paths: &[PathBuf]) -> Result<Vec<PathBuf>, DeclarationsError> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            files.extend(folder_files(path)?);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

fn folder_files(folder: &Path) -> Result<Vec<PathBuf>, DeclarationsError> {
    let read_error = |error| DeclarationsError::Read {
        path: folder.to_owned(),
        error,
    };
    let mut files = Vec::new();
    for dir_entry in fs::read_dir(folder).map_err(read_error)? {
        let path = dir_entry.map_err(read_error)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(DeclarationsError::Empty {
            path: folder.to_owned(),
        });
    }
    Ok(files)
}
