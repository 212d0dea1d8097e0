//! Plain-text tables for the terminal.

use std::fmt;

/// Spaces between two columns.
const GAP: usize = 2;

/// A table with a head, whose columns are as wide as their widest cell in bytes.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table that holds only its head.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Self {
            rows: vec![head.iter().map(|cell| (*cell).to_owned()).collect()],
        }
    }

    /// Appends a row. It may have fewer cells than the head.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(String::len).max().unwrap_or_default()
            })
            .collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<0$}", width + GAP));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
