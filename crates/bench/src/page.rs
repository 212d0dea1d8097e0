//! Reads criterion's results, and writes the page of figures and its plot.

use crate::report::Figure;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, SeriesLabelPosition, WHITE,
};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    fmt::Write,
    fs, io,
    path::{Path, PathBuf},
};

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 560);

/// Criterion's times of one iteration of a bench at one size.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Criterion's name of the group.
    pub group: String,
    /// Name of the bench in its group: a size or a variant.
    pub id: String,
    /// Time of the fastest sample.
    pub best_ns: f64,
    /// Criterion's estimate of the median.
    pub median_ns: f64,
}

/// Reads criterion's results, ordered by group and size; folders without results are passed over.
///
/// # Errors
///
/// When `results` or a folder in it can't be read.
pub fn read_timings(results: &Path) -> io::Result<Vec<Timing>> {
    let mut timings = Vec::new();
    for group in subfolders(results)? {
        for id in subfolders(&group)? {
            timings.extend(read_timing(&group, &id));
        }
    }
    timings.sort_by(|a, b| {
        let size = |timing: &Timing| timing.id.parse().unwrap_or(0_u64);
        (&a.group, size(a), &a.id).cmp(&(&b.group, size(b), &b.id))
    });
    Ok(timings)
}

fn subfolders(path: &Path) -> io::Result<Vec<PathBuf>> {
    let paths = fs::read_dir(path)?.map(|entry| Ok(entry?.path()));
    let paths: Vec<PathBuf> = paths.collect::<io::Result<_>>()?;
    Ok(paths.into_iter().filter(|path| path.is_dir()).collect())
}

fn read_timing(group: &Path, id: &Path) -> Option<Timing> {
    let read = |file: &str| -> Option<Value> {
        let text = fs::read_to_string(id.join("new").join(file)).ok()?;
        serde_json::from_str(&text).ok()
    };
    let (sample, estimates) = (read("sample.json")?, read("estimates.json")?);
    let numbers = |field: &str| Some(sample[field].as_array()?.iter().filter_map(Value::as_f64));
    let each = numbers("times")?
        .zip(numbers("iters")?)
        .map(|(ns, count)| ns / count);
    let name = |path: &Path| Some(path.file_name()?.to_string_lossy().into_owned());
    Some(Timing {
        group: name(group)?,
        id: name(id)?,
        best_ns: each.fold(f64::INFINITY, f64::min),
        median_ns: estimates["median"]["point_estimate"].as_f64()?,
    })
}

/// The page's Markdown: a table of criterion's times and one of the printed figures.
#[must_use]
pub fn page_text(timings: &[Timing], figures: &[Figure]) -> String {
    let mut text = "# Benchmarks\n\n\
        Written by `scripts/bench-report`, which runs `cargo bench` and this page's program. The\n\
        machine runs other work too, so the best sample stands beside the median; the memory and\n\
        the processor time of processes are the kernel's own counts.\n\n\
        ![Time of a step by size](benchmarks.svg)\n\n\
        ## Steps of the cores, on one core\n\n\
        Command: `cargo bench --package bench --bench cores`; `client_block_look_up` is 4,096\n\
        look-ups and comes from `cargo bench --package locate`.\n\n\
        | bench | size | best µs | median µs |\n| --- | ---: | ---: | ---: |\n"
        .to_owned();
    for timing in timings {
        let (group, id) = (&timing.group, &timing.id);
        let (best_us, median_us) = (timing.best_ns / 1e3, timing.median_ns / 1e3);
        let _ = writeln!(text, "| {group} | {id} | {best_us:.3} | {median_us:.3} |");
    }
    text += "\n## Processes and memory\n\n\
        Command: `cargo bench --package bench --bench daemons`; the size is the number of entries,\n\
        blocks or connections. Bytes a block come from `cargo bench --package locate`.\n\n\
        | figure | size | value | unit |\n| --- | ---: | ---: | --- |\n";
    for figure in figures {
        let (name, size, value, unit) = (&figure.name, &figure.size, figure.value, &figure.unit);
        let _ = writeln!(text, "| {name} | {size} | {value:.2} | {unit} |");
    }
    text
}

/// Draws the best times over the size as an SVG file, for each group whose benches are named by
/// size.
///
/// # Errors
///
/// When the plot can't be drawn or written.
pub fn write_plot(timings: &[Timing], path: &Path) -> anyhow::Result<()> {
    let mut series: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for timing in timings {
        if let Ok(size) = timing.id.parse() {
            let points = series.entry(&timing.group).or_default();
            points.push((size, timing.best_ns / 1e3));
        }
    }
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Best time of a step by size", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..2e6).log_scale(), (0.05..2e4).log_scale())?;
    chart.configure_mesh().x_desc("size").y_desc("µs").draw()?;
    for (index, (name, points)) in series.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
        let drawn = chart.draw_series(line)?;
        drawn
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
