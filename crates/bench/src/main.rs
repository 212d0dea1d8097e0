//! Writes `docs/BENCHMARKS.md` and its plot from criterion's results and the lines that benches
//! printed.

use bench::{page, report::Figure};
use std::{fs, path::Path};

const PAGE: &str = "docs/BENCHMARKS.md";
const PLOT: &str = "docs/benchmarks.svg";

/// Arguments: the folder of criterion's results, then files with the output of `cargo bench`.
fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args_os().skip(1);
    let results = arguments
        .next()
        .unwrap_or_else(|| "target/criterion".into());
    let mut figures = Vec::new();
    for log in arguments {
        let text = fs::read_to_string(log)?;
        figures.extend(text.lines().filter_map(|line| line.parse::<Figure>().ok()));
    }
    let timings = page::read_timings(Path::new(&results))?;
    fs::write(PAGE, page::page_text(&timings, &figures))?;
    page::write_plot(&timings, Path::new(PLOT))
}
