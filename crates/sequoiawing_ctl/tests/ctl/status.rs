//! Tests of the output of status.

use crate::samples::Fleet;
use sequoiawing_ctl::{OutputFormat, Report, render};
use serde_json::Value;

#[test]
fn a_fleet_that_is_well() {
    insta::assert_snapshot!(Fleet::well().overview().text());
}

#[test]
fn a_fleet_with_lost_hosts() {
    let mut fleet = Fleet::well();
    fleet.disconnect_controller(0);
    fleet.disconnect_router(2);
    fleet.upstreams.clear();
    insta::assert_snapshot!(fleet.overview().text());
}

#[test]
fn json_has_the_same_problems() {
    let mut fleet = Fleet::well();
    fleet.disconnect_router(2);
    let text = render(&fleet.overview(), OutputFormat::Json).expect("the status can be serialized");
    let value: Value = serde_json::from_str(&text).expect("the output is valid JSON");
    insta::assert_snapshot!(format!("{:#}", value["problems"]));
}
