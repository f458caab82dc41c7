//! Renders the tables of the page and inserts them between its markers.

use crate::{
    CapacityInputs, Cost, RoleCost, Slopes,
    inputs::InputRow,
    slopes::{MessageSlopes, TimeSlopes},
};
use std::fmt::Write;

/// Returns the page with the text between the markers of `section` replaced,
/// or `None` if the page lacks these markers.
pub fn replace_section(page: &str, section: &str, text: &str) -> Option<String> {
    let (begin, end) = markers(section);
    let (head, rest) = page.split_once(&begin)?;
    let (_, tail) = rest.split_once(&end)?;
    Some(format!("{head}{begin}\n{text}{end}{tail}"))
}

fn markers(section: &str) -> (String, String) {
    let begin = format!("<!-- {section}: begin -->");
    let end = format!("<!-- {section}: end -->");
    (begin, end)
}

/// Returns the table of the fixed inputs.
pub fn input_table(inputs: &CapacityInputs) -> String {
    let mut text = String::from("| input | value | from |\n|---|---:|---|\n");
    for InputRow {
        name,
        value,
        unit,
        origin,
    } in inputs.rows()
    {
        let value = format_number(value);
        let origin = origin.as_str();
        push_row(&mut text, &[name, format!("{value} {unit}").trim(), origin]);
    }
    text
}

/// Returns the names and texts of all measured sections of the page.
pub fn render(
    inputs: &CapacityInputs,
    slopes: &Slopes,
    roles: &[RoleCost],
) -> Vec<(&'static str, String)> {
    vec![
        ("slopes", slope_tables(slopes)),
        ("summary", summary_table(inputs, roles)),
        ("built", role_tables(roles, true)),
        ("planned", role_tables(roles, false)),
        ("spread", propagation_table(inputs, slopes)),
    ]
}

fn push_row(text: &mut String, cells: &[&str]) {
    writeln!(text, "| {} |", cells.join(" | ")).ok();
}

fn slope_tables(slopes: &Slopes) -> String {
    let mut text = heap_table(slopes);
    message_table(&mut text, &slopes.message);
    time_table(&mut text, &slopes.time);
    text
}

fn heap_table(slopes: &Slopes) -> String {
    let h = &slopes.heap;
    let mut text = String::from("| heap of one | bytes |\n|---|---:|\n");
    let heap = [
        ("customer", h.customer),
        ("granted key", h.key),
        ("withdrawn key", h.withdrawn_key),
        ("route", h.route),
        ("adapter name in a pool", h.adapter),
        ("upstream in the registry", h.upstream),
        (
            "upstream in the registry, a dispatcher and the placer",
            h.local_upstream,
        ),
        ("the same, of another data centre", h.remote_upstream),
        ("waiting request", h.queued_request),
        ("kept claim", h.claim),
        ("kept outcome of an edit", h.edit_outcome),
        (
            "granted key in the log's state, with its edit's outcome",
            h.granted_key,
        ),
        (
            "route in the log's state, with its edit's outcome",
            h.added_route,
        ),
        ("the tables at this size, whole", h.tables),
        ("a copy of them that differs in one route", h.table_copy),
        ("the same of their pools", h.pools_copy),
    ];
    for (name, bytes) in heap {
        push_row(&mut text, &[name, &format_number(bytes.round())]);
    }
    push_row(
        &mut text,
        &[
            "resident memory of an idle router process",
            &format_number(slopes.process_memory),
        ],
    );
    text
}

fn message_table(text: &mut String, m: &MessageSlopes) {
    text.push_str("\n| message on the link | bytes |\n|---|---:|\n");
    let messages = [
        ("envelope of a call", m.envelope),
        ("empty answer", m.empty_reply),
        ("announcement, relayed", m.relayed_state),
        (
            "announcement as posted by an upstream, with its answer",
            m.announcement,
        ),
        (
            "renewal as posted by an upstream, with its answer",
            m.renewal,
        ),
        ("load of one upstream", m.load_delta),
        (
            "empty batch between routers, with its answer",
            m.empty_batch,
        ),
        (
            "adapter that takes another's place, to another data centre",
            m.summary_move,
        ),
        ("confirmation to another data centre", m.confirmation),
        ("heartbeat of the log, with its answer", m.heartbeat),
        ("one more entry of the log to a follower", m.log_entry),
        ("demand", m.demand),
        ("order", m.order),
        ("edit of one route", m.edit),
        ("the same to a follower", m.update),
        ("the same on the disk", m.saved_update),
        ("promise to a cell leader, with its answer", m.lease),
        ("claim", m.claim),
        ("settled claim", m.settle),
        ("the tables at this size, whole", m.tables),
    ];
    for (name, bytes) in messages {
        push_row(text, &[name, &format_number(bytes.round())]);
    }
}

fn time_table(text: &mut String, t: &TimeSlopes) {
    text.push_str("\n| work | µs |\n|---|---:|\n");
    let times = [
        ("encode an announcement", t.encode_announcement),
        ("decode an announcement", t.decode_announcement),
        ("apply an announcement", t.apply_announcement),
        ("decode a renewal", t.decode_renewal),
        ("apply a renewal", t.apply_renewal),
        ("decode and apply a load", t.apply_load),
        (
            "decode and apply a change of another data centre",
            t.apply_summary,
        ),
        ("dispatch a request and take note of its end", t.dispatch),
        ("let time pass for a dispatcher", t.tick),
        ("let the cell look over the upstreams here", t.refresh_cell),
        ("answer a demand at the cell leader", t.answer_demand),
        ("apply an edit of one route at a controller", t.apply_edit),
        ("apply it at a follower", t.apply_update),
        ("look at the cell's members and fences", t.observe_cell),
        ("apply a claim beside those that are kept", t.apply_claim),
        ("copy the tables to publish them", t.publish),
        ("encode the tables for the disk", t.encode_tables),
        ("encode a change for the disk", t.encode_update),
        ("decode the tables", t.decode_tables),
        ("decode an edit in the log", t.decode_edit),
    ];
    for (name, seconds) in times {
        push_row(text, &[name, &format!("{:.2}", seconds * 1e6)]);
    }
}

fn summary_table(inputs: &CapacityInputs, roles: &[RoleCost]) -> String {
    let mut text = String::from(
        "| role | | core | memory | traffic | over the limit |\n|---|---|---:|---:|---:|---|\n",
    );
    for role in roles {
        let total = role.total();
        let state = if role.built { "built" } else { "planned" };
        let cells = [
            role.name.to_owned(),
            state.to_owned(),
            percent(total.core),
            megabytes(total.memory),
            kilobytes(total.traffic),
            exceeded_limits(inputs, role, &total),
        ];
        push_row(&mut text, &cells.each_ref().map(String::as_str));
    }
    text
}

/// Describes the limits of a node that `total` exceeds, and by what factor.
///
/// The limits do not apply to control hosts, which are dedicated to this work,
/// or to the operator's machine, which is not a node.
fn exceeded_limits(inputs: &CapacityInputs, role: &RoleCost, total: &Cost) -> String {
    let limits = [
        ("core", total.core, inputs.core_limit),
        ("memory", total.memory, inputs.memory_limit),
        ("traffic", total.traffic, inputs.traffic_limit),
    ];
    let exceeded: Vec<String> = limits
        .iter()
        .filter(|(_, used, limit)| used > limit)
        .map(|(name, used, limit)| format!("{name} × {:.1}", used / limit))
        .collect();
    if exceeded.is_empty() {
        return "no".to_owned();
    }
    let exceeded = exceeded.join(", ");
    if role.runs_on_node() {
        format!("**{exceeded}**")
    } else {
        format!("({exceeded}; not a node's)")
    }
}

fn role_tables(roles: &[RoleCost], built: bool) -> String {
    let mut text = String::new();
    for role in roles.iter().filter(|r| r.built == built) {
        writeln!(text, "**{}**\n", role.name).ok();
        text.push_str("| mechanism | core | memory | traffic |\n|---|---:|---:|---:|\n");
        for item in &role.mechanisms {
            cost_row(&mut text, item.name, &item.cost);
        }
        cost_row(&mut text, "sum", &role.total());
        text.push('\n');
    }
    text
}

fn cost_row(text: &mut String, name: &str, cost: &Cost) {
    let cells = [
        name,
        &percent(cost.core),
        &megabytes(cost.memory),
        &kilobytes(cost.traffic),
    ];
    push_row(text, &cells);
}

/// Number of hops of a change: operator to leader, leader to a majority,
/// controller to relay, relay to router.
const HOPS: f64 = 4.0;

/// Time after which a router abandons a source that does not answer, in seconds.
const SOURCE_TIMEOUT: f64 = 8.0;

/// Computes the time until a change is in effect everywhere.
fn propagation_table(inputs: &CapacityInputs, slopes: &Slopes) -> String {
    let (m, t) = (&slopes.message, &slopes.time);
    let distance = HOPS * inputs.round_trip;
    let sending = [HOPS * m.update / inputs.traffic_limit; 2];
    let applying = [
        t.apply_edit + 2.0 * (t.apply_update + t.encode_update),
        t.apply_edit + 2.0 * (t.apply_update + t.encode_update),
    ];
    let total = [0, 1].map(|i| distance + sending[i] + applying[i]);
    let full_tables = [m.tables / inputs.traffic_limit; 2];
    let mut text = String::from("| step | built, s | planned, s |\n|---|---:|---:|\n");
    let mut line = |name: &str, [built, planned]: [f64; 2]| {
        let cells = [built, planned].map(|s| format!("{s:.3}"));
        push_row(&mut text, &[name, &cells[0], &cells[1]]);
    };
    line("distance over four hops", [distance; 2]);
    line("sending within the traffic of a node", sending);
    line("applying and saving", applying);
    line("sum", total);
    line(
        "sum, when one source is found dead first",
        total.map(|s| s + SOURCE_TIMEOUT),
    );
    line("limit", [inputs.propagation_limit; 2]);
    line(
        "whole tables to a host that starts anew, within its traffic",
        full_tables,
    );
    text
}

fn percent(core: f64) -> String {
    format!("{:.3} %", core * 100.0)
}

fn megabytes(bytes: f64) -> String {
    format!("{:.2} MB", bytes / 1e6)
}

fn kilobytes(bytes: f64) -> String {
    format!("{:.2} KB/s", bytes / 1e3)
}

/// Formats a number without trailing zeros, with thousands separators.
fn format_number(number: f64) -> String {
    let text = format!("{number}");
    let (integer, decimals) = text.split_once('.').map_or((text.as_str(), ""), |p| p);
    let mut grouped = String::new();
    for (i, digit) in integer.chars().enumerate() {
        if i > 0 && (integer.len() - i) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if decimals.is_empty() {
        grouped
    } else {
        format!("{grouped}.{decimals}")
    }
}
