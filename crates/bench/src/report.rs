//! The figures that benches print and the page made of them.

use std::{fmt, str::FromStr};
use thiserror::Error;

/// Begins a line of a bench's output that holds a figure.
const MARK: &str = "figure|";

/// A measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// The size at which it was measured.
    pub size: String,
    /// How much.
    pub value: f64,
    /// Of what.
    pub unit: String,
}

/// A line that holds no figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no figure")]
pub struct NoFigure;

impl Figure {
    /// A figure of `name` at `size`.
    #[must_use]
    pub fn new(name: &str, size: impl ToString, value: f64, unit: &str) -> Self {
        Self {
            name: name.to_owned(),
            size: size.to_string(),
            value,
            unit: unit.to_owned(),
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, size, value, unit) = (&self.name, &self.size, self.value, &self.unit);
        write!(f, "{MARK}{name}|{size}|{value:.3}|{unit}")
    }
}

impl FromStr for Figure {
    type Err = NoFigure;

    fn from_str(line: &str) -> Result<Self, Self::Err> {
        let mut fields = line.strip_prefix(MARK).ok_or(NoFigure)?.split('|');
        let mut field = || fields.next().ok_or(NoFigure);
        Ok(Self {
            name: field()?.to_owned(),
            size: field()?.to_owned(),
            value: field()?.parse().map_err(|_| NoFigure)?,
            unit: field()?.to_owned(),
        })
    }
}

/// The least-squares line through points of size and value: what each unit of size adds, and the
/// value at size 0.
#[must_use]
pub fn slope(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let common: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = (spread > 0.0).then(|| common / spread)?;
    Some((slope, mean_y - slope * mean_x))
}
