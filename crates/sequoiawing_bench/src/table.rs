use crate::{Comparison, Figures, breakdown::write_breakdown_lines};
use std::fmt::Write;

const HEADER: &str = "policy       | cold n  p50    p95    p99 | model p99  bound | idle h  loads | \
worst customer        | refused limited unavoidable of entitled | over surplus double other";

/// Formats comparisons as a readable table.
pub fn write_table(comparisons: &[Comparison]) -> String {
    let mut text = String::new();
    for comparison in comparisons {
        let Comparison {
            deployment,
            scenario,
            seed,
            secs,
            requests,
            ..
        } = comparison;
        writeln!(
            text,
            "{deployment} / {scenario}: seed {seed}, {secs} s, {requests} requests (times in ms)"
        )
        .ok();
        writeln!(text, "{HEADER}").ok();
        for figures in &comparison.figures {
            write_row(&mut text, figures);
        }
        write_alone_comparison(&mut text, comparison);
        text.push('\n');
    }
    text
}

fn write_row(text: &mut String, figures: &Figures) {
    let Figures {
        policy,
        total,
        cold_models,
        bound,
        idle_hours,
        loads,
        ..
    } = figures;
    let (name, in_time) = figures.worst_customer().unwrap_or_default();
    let cold = total.cold;
    let worst = format!("{name} {in_time:.3}");
    let refused = format!(
        "{} {} {} of {}",
        total.refused, total.limited, figures.bound_late, total.entitled
    );
    write!(
        text,
        "{policy:12} | {:6} {:6} {:6} {:6} | {:9} {:6} | {idle_hours:6.3} {loads:6} | {worst:21} | {refused:39}",
        cold.count, cold.p50, cold.p95, cold.p99, cold_models.p99, bound.p99,
    )
    .ok();
    writeln!(
        text,
        " | {:4} {:7} {:6} {:5}",
        figures.overcommit + figures.overshoot,
        figures.surplus,
        figures.doubles,
        figures.others
    )
    .ok();
}

/// Formats the slowest cold starts, split into phases, for the first policy of
/// each comparison.
pub fn write_breakdowns(comparisons: &[Comparison], count: usize) -> String {
    let mut text = String::new();
    for comparison in comparisons {
        let Some(figures) = comparison.figures.first() else {
            continue;
        };
        let (deployment, scenario, seed) =
            (&comparison.deployment, comparison.scenario, comparison.seed);
        writeln!(
            text,
            "{deployment} / {scenario}: seed {seed}, {}, in ms",
            figures.policy
        )
        .ok();
        let count = count.min(figures.slowest.len());
        write_breakdown_lines(&mut text, &figures.slowest[..count]);
    }
    text
}

/// Writes the in-time fraction of each customer beside that when it is the only
/// one.
fn write_alone_comparison(text: &mut String, comparison: &Comparison) {
    let Some(figures) = comparison.figures.first() else {
        return;
    };
    for (name, alone) in &comparison.alone {
        let Some(customer) = figures.customers.get(name) else {
            continue;
        };
        let in_time = customer.in_time_ratio();
        let ratio = if *alone > 0.0 { in_time / alone } else { 1.0 };
        writeln!(
            text,
            "  {name}: in time {in_time:.3}, alone {alone:.3}, part {ratio:.3}"
        )
        .ok();
    }
}
