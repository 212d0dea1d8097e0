//! Reads the settings file and the files that it names: keys, tokens and client blocks.

use crate::{
    error::{Problem, SettingsError},
    model::{AnnounceToken, Settings},
    overrides::Override,
};
use locate::{ClientBlocks, ClientBlocksBuilder};
use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader},
    path::Path,
    sync::Arc,
};
use types::ServiceName;

/// The shortest accepted link key.
pub const KEY_MIN_BYTES: usize = 32;

impl Settings {
    /// Reads and checks a settings file and the files that it names.
    ///
    /// # Errors
    ///
    /// The first [`SettingsError`] found.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::read_with(path, &[])
    }

    /// As [`Self::read`], with keys that are set in place of those of the file.
    ///
    /// # Errors
    ///
    /// As [`Self::read`].
    pub fn read_with(path: &Path, overrides: &[Override]) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(source) => return Err(SettingsError::Unreadable { file, source }),
        };
        let mut settings = Self::parse_with(&text, &file, overrides)?;
        settings.read_keys(&file)?;
        settings.read_entry_files(&file)?;
        settings.read_control_files(&file)?;
        Ok(settings)
    }

    fn read_keys(&mut self, file: &str) -> Result<(), SettingsError> {
        self.deployment.keys = read_file(&self.deployment.key_file)
            .and_then(|text| parse_link_keys(&text, &self.deployment.key_file))
            .map_err(|problem| key_error(file, "deployment", "key_file", problem))?;
        Ok(())
    }

    fn read_entry_files(&mut self, file: &str) -> Result<(), SettingsError> {
        let Some(entry) = &mut self.entry else {
            return Ok(());
        };
        if let Some(path) = &entry.announce_tokens_file {
            entry.announce_tokens = read_file(path)
                .and_then(|text| parse_announce_tokens(&text, path))
                .map_err(|problem| key_error(file, "entry", "announce_tokens_file", problem))?;
        }
        if let Some(path) = &entry.client_blocks_file {
            let blocks = read_client_blocks(path)
                .map_err(|problem| key_error(file, "entry", "client_blocks_file", problem))?;
            entry.client_blocks = Some(Arc::new(blocks));
        }
        Ok(())
    }

    fn read_control_files(&mut self, file: &str) -> Result<(), SettingsError> {
        let Some(control) = &mut self.control else {
            return Ok(());
        };
        if self.discovery.is_none() && !control.data.is_dir() {
            let path = control.data.clone();
            let problem = Problem::MissingFolder { path };
            return Err(key_error(file, "control", "data", problem));
        }
        if let Some(path) = &control.operator_tokens_file {
            control.operator_tokens = read_file(path)
                .and_then(|text| parse_operator_tokens(&text, path))
                .map_err(|problem| key_error(file, "control", "operator_tokens_file", problem))?;
        }
        Ok(())
    }
}

fn key_error(file: &str, section: &str, key: &str, problem: Problem) -> SettingsError {
    SettingsError::Key {
        file: file.to_owned(),
        section: section.to_owned(),
        key: key.to_owned(),
        problem,
    }
}

fn unreadable(path: &Path) -> impl Fn(io::Error) -> Problem {
    |source| Problem::UnreadableFile {
        path: path.to_owned(),
        source,
    }
}

fn read_file(path: &Path) -> Result<String, Problem> {
    fs::read_to_string(path).map_err(unreadable(path))
}

/// Reads line by line, since the file of a large deployment is larger than the parsed blocks.
fn read_client_blocks(path: &Path) -> Result<ClientBlocks, Problem> {
    let file = File::open(path).map_err(unreadable(path))?;
    let invalid = |error| Problem::ClientBlocks {
        path: path.to_owned(),
        source: Box::new(error),
    };
    let mut builder = ClientBlocksBuilder::new();
    for (number, line) in (1..).zip(BufReader::new(file).lines()) {
        let line = line.map_err(unreadable(path))?;
        builder.declare_line(number, &line).map_err(invalid)?;
    }
    builder.build().map_err(invalid)
}

/// The lines that are not blank, without surrounding whitespace, with their numbers from 1.
fn non_blank_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    (1..)
        .zip(text.lines().map(str::trim))
        .filter(|(_, line)| !line.is_empty())
}

fn parse_link_keys(text: &str, path: &Path) -> Result<Vec<Vec<u8>>, Problem> {
    let mut keys = Vec::new();
    for (line, key) in non_blank_lines(text) {
        if key.len() < KEY_MIN_BYTES {
            return Err(Problem::ShortKey {
                path: path.to_owned(),
                line,
                len_bytes: key.len(),
                min_bytes: KEY_MIN_BYTES,
            });
        }
        keys.push(key.as_bytes().to_vec());
    }
    require_non_empty(keys, path)
}

fn parse_operator_tokens(text: &str, path: &Path) -> Result<Vec<String>, Problem> {
    let tokens = non_blank_lines(text)
        .map(|(_, line)| line.to_owned())
        .collect();
    require_non_empty(tokens, path)
}

fn parse_announce_tokens(text: &str, path: &Path) -> Result<Vec<AnnounceToken>, Problem> {
    let tokens = non_blank_lines(text)
        .map(|(line, content)| {
            parse_announce_token(content).ok_or_else(|| Problem::InvalidToken {
                path: path.to_owned(),
                line,
            })
        })
        .collect::<Result<_, _>>()?;
    require_non_empty(tokens, path)
}

fn parse_announce_token(line: &str) -> Option<AnnounceToken> {
    let (token, services) = line.split_once(char::is_whitespace)?;
    let services: Vec<ServiceName> = services
        .split(',')
        .map(|service| service.trim().parse().ok())
        .collect::<Option<_>>()?;
    Some(AnnounceToken {
        token: token.to_owned(),
        services,
    })
}

fn require_non_empty<T>(items: Vec<T>, path: &Path) -> Result<Vec<T>, Problem> {
    if items.is_empty() {
        let path = path.to_owned();
        return Err(Problem::EmptyFile { path });
    }
    Ok(items)
}
