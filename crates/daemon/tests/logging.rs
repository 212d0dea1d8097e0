//! Compares the table in docs/LOGGING.md with the log calls in the sources: every message needs a
//! row that names all its fields.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

const MACROS: [&str; 5] = ["info!(", "warn!(", "error!(", "crit!(", "debug!("];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|it| it == "rs") {
            found.push(path);
        }
    }
}

/// The arguments of a macro call: `text` up to the closing parenthesis.
fn arguments(text: &str) -> &str {
    let mut depth = 1;
    let mut in_text = false;
    for (at, symbol) in text.char_indices() {
        match symbol {
            '"' => in_text = !in_text,
            '(' if !in_text => depth += 1,
            ')' if !in_text => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..at];
        }
    }
    text
}

/// The message and the field names of a log call. The message is the first string literal; field
/// names are the later ones that stand before `=>`.
fn message_and_fields(call: &str) -> (String, Vec<String>) {
    let parts: Vec<&str> = call.split('"').collect();
    let message = parts.get(1).copied().unwrap_or_default().to_owned();
    let rest = parts.get(3..).unwrap_or_default();
    let fields = rest.chunks(2).filter_map(|pair| match pair {
        [name, after] if after.trim_start().starts_with("=>") => Some((*name).to_owned()),
        _ => None,
    });
    (message, fields.collect())
}

/// Every message that the sources can log, with its fields.
fn logged_messages() -> BTreeMap<String, Vec<String>> {
    let mut files = Vec::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for name in ["daemon", "link", "store", "settings"] {
        collect_sources(&root.join(name).join("src"), &mut files);
    }
    let mut lines: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source");
        for name in MACROS {
            for (at, _) in text.match_indices(name) {
                let (message, fields) = message_and_fields(arguments(&text[at + name.len()..]));
                lines.entry(message).or_default().extend(fields);
            }
        }
    }
    lines
}

#[test]
fn every_log_message_is_documented_with_its_fields() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOGGING.md");
    let page = fs::read_to_string(page).expect("the page");
    let lines = logged_messages();
    assert!(lines.len() > 20, "{lines:?}");
    let mut missing = Vec::new();
    for (message, fields) in lines {
        let Some(row) = page
            .lines()
            .find(|row| row.starts_with('|') && row.contains(&format!("`{message}`")))
        else {
            missing.push(format!("{message}: no row; {fields:?}"));
            continue;
        };
        for field in fields {
            if !row.contains(&format!("`{field}`")) {
                missing.push(format!("{message}: {field}"));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}
