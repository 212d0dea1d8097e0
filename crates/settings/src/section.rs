//! Typed access to one section of the file; errors name the file, section and key.

use crate::error::{Expected, Problem, SettingsError};
use ini::Properties;
use std::{path::PathBuf, str::FromStr};

/// A section whose keys have been checked against the known ones.
pub(crate) struct Section<'a> {
    file: &'a str,
    name: &'a str,
    properties: &'a Properties,
}

impl<'a> Section<'a> {
    /// Checks that every key is known and appears once.
    pub(crate) fn new(
        file: &'a str,
        name: &'a str,
        properties: &'a Properties,
        known: &[&str],
    ) -> Result<Self, SettingsError> {
        let section = Self::with_any_keys(file, name, properties)?;
        match properties.iter().find(|(key, _)| !known.contains(key)) {
            Some((key, _)) => Err(section.error(key, Problem::Unknown)),
            None => Ok(section),
        }
    }

    /// Checks only that every key appears once.
    pub(crate) fn with_any_keys(
        file: &'a str,
        name: &'a str,
        properties: &'a Properties,
    ) -> Result<Self, SettingsError> {
        let section = Self {
            file,
            name,
            properties,
        };
        match properties
            .iter()
            .find(|(key, _)| properties.get_all(key).count() > 1)
        {
            Some((key, _)) => Err(section.error(key, Problem::Repeated)),
            None => Ok(section),
        }
    }

    /// An error at one of the section's keys.
    pub(crate) fn error(&self, key: &str, problem: Problem) -> SettingsError {
        SettingsError::Key {
            file: self.file.to_owned(),
            section: self.name.to_owned(),
            key: key.to_owned(),
            problem,
        }
    }

    /// An error that quotes a malformed value.
    pub(crate) fn invalid(&self, key: &str, value: &str, expected: Expected) -> SettingsError {
        let value = value.to_owned();
        self.error(key, Problem::Invalid { value, expected })
    }

    /// Every key with its value.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.properties.iter()
    }

    /// The parsed value of a key; `None` when the key is absent.
    pub(crate) fn optional<T: FromStr>(
        &self,
        key: &str,
        expected: Expected,
    ) -> Result<Option<T>, SettingsError> {
        self.properties
            .get(key)
            .map(|text| text.parse().map_err(|_| self.invalid(key, text, expected)))
            .transpose()
    }

    /// The parsed value of a key; an error when the key is absent.
    pub(crate) fn required<T: FromStr>(
        &self,
        key: &str,
        expected: Expected,
    ) -> Result<T, SettingsError> {
        self.optional(key, expected)?
            .ok_or_else(|| self.error(key, Problem::Missing))
    }

    /// The path that a key gives; `None` when the key is absent, an error when the path is empty.
    pub(crate) fn optional_path(&self, key: &str) -> Result<Option<PathBuf>, SettingsError> {
        match self.properties.get(key) {
            Some("") => Err(self.invalid(key, "", Expected::Path)),
            path => Ok(path.map(PathBuf::from)),
        }
    }

    /// The path that a key gives; an error when the key is absent or the path is empty.
    pub(crate) fn required_path(&self, key: &str) -> Result<PathBuf, SettingsError> {
        self.optional_path(key)?
            .ok_or_else(|| self.error(key, Problem::Missing))
    }
}
