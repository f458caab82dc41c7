use crate::Comparison;
use plotters::prelude::{
    BLUE, ChartBuilder, Color, GREEN, IntoDrawingArea, IntoFont, MAGENTA, RED, RGBColor, Rectangle,
    SVGBackend, WHITE,
};
use std::{error::Error, path::Path};

const IMAGE_SIZE: (u32, u32) = (960, 480);
const COLORS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// Draws the 99th percentile of cold starts of each policy beside the offline
/// bound, with a group of bars per comparison.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn draw_cold_starts(path: &Path, comparisons: &[Comparison]) -> Result<(), Box<dyn Error>> {
    let bars = |c: &Comparison| {
        let mut bars: Vec<f64> = c
            .figures
            .iter()
            .map(|f| to_f64(f.cold_models.p99))
            .collect();
        bars.truncate(COLORS.len() - 1);
        bars.extend(c.figures.first().map(|f| to_f64(f.bound.p99)));
        bars
    };
    draw(
        path,
        "cold start p99, ms (last bar: bound)",
        comparisons,
        bars,
    )
}

/// Draws the idle accelerator hours of each policy.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn draw_idle_hours(path: &Path, comparisons: &[Comparison]) -> Result<(), Box<dyn Error>> {
    let bars = |c: &Comparison| {
        let bars = c.figures.iter().map(|f| f.idle_hours);
        bars.take(COLORS.len()).collect()
    };
    draw(path, "idle accelerator hours", comparisons, bars)
}

#[expect(clippy::cast_precision_loss, reason = "a plot needs no exact value")]
fn to_f64(value: u64) -> f64 {
    value as f64
}

fn draw<F>(
    path: &Path,
    title: &str,
    comparisons: &[Comparison],
    bars: F,
) -> Result<(), Box<dyn Error>>
where
    F: Fn(&Comparison) -> Vec<f64>,
{
    let groups: Vec<Vec<f64>> = comparisons.iter().map(bars).collect();
    let highest = groups.iter().flatten().copied().fold(1e-6, f64::max);
    let root = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let count = u32::try_from(groups.len())?;
    let names: Vec<String> = comparisons
        .iter()
        .map(|c| format!("{}/{}", c.deployment, c.scenario))
        .collect();
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20).into_font())
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..f64::from(count), 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(groups.len() + 1)
        .x_label_formatter(&|x| group_label(&names, *x))
        .draw()?;
    for (i, group) in groups.iter().enumerate() {
        let group_start = f64::from(u32::try_from(i)?);
        let width = 0.8 / f64::from(u32::try_from(group.len().max(1))?);
        for (j, value) in group.iter().enumerate() {
            let bar_start = group_start + 0.1 + width * f64::from(u32::try_from(j)?);
            let corners = [(bar_start, 0.0), (bar_start + width * 0.9, *value)];
            let color = COLORS[j % COLORS.len()];
            chart.draw_series([Rectangle::new(corners, color.filled())])?;
        }
    }
    root.present()?;
    Ok(())
}

/// Returns the name of the group that starts at `x`.
fn group_label(names: &[String], x: f64) -> String {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positions are small and not negative"
    )]
    let i = x.round().max(0.0) as usize;
    names.get(i).cloned().unwrap_or_default()
}
