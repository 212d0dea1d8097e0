//! The figures that benches print, one on a line, and the line fitted through figures of several
//! sizes.

use std::{fmt, str::FromStr};
use thiserror::Error;

/// Prefix of the lines of a bench's output that hold a figure.
const FIGURE_PREFIX: &str = "figure|";

/// A measured figure, printed as `figure|NAME|SIZE|VALUE|UNIT`.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// The size at which it was measured.
    pub size: String,
    /// The measured value, in `unit`; printed with three digits after the point.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
}

/// The line does not have the form of a [`Figure`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a line of the form figure|NAME|SIZE|VALUE|UNIT")]
pub struct NoFigure;

impl Figure {
    /// A figure; neither `name`, `size` nor `unit` may contain `|`.
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
        write!(f, "{FIGURE_PREFIX}{name}|{size}|{value:.3}|{unit}")
    }
}

impl FromStr for Figure {
    type Err = NoFigure;

    fn from_str(line: &str) -> Result<Self, Self::Err> {
        let mut fields = line.strip_prefix(FIGURE_PREFIX).ok_or(NoFigure)?.split('|');
        let mut field = || fields.next().ok_or(NoFigure);
        Ok(Self {
            name: field()?.to_owned(),
            size: field()?.to_owned(),
            value: field()?.parse().map_err(|_| NoFigure)?,
            unit: field()?.to_owned(),
        })
    }
}

/// The least-squares line through points of size and value: its slope and its value at size 0.
///
/// `None` unless there are two different sizes.
#[must_use]
pub fn fit_line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = (sum_xx > 0.0).then(|| sum_xy / sum_xx)?;
    Some((slope, mean_y - slope * mean_x))
}
