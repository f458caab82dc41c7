//! Tests of the operators' commands against daemons as separate processes.

mod support;

use serde_json::Value;
use std::time::Duration;
use support::{Deployment, wait::wait};

/// The time after which a drained upstream gets no new requests.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).expect("the output is JSON")
}

#[test]
fn status_names_the_pool_whose_upstream_is_drained() {
    let deployment = Deployment::start("drained-upstream");
    let before = parse_json(&deployment.ctl(&["status", "-o", "json"]));
    assert_eq!(before["problems"], parse_json("[]"), "{before}");
    deployment.ctl(&["drain", "upstream", "licences-0-0"]);
    let after = parse_json(&deployment.ctl(&["status", "-o", "json"]));
    let problems = after["problems"].to_string();
    assert!(problems.contains("is drained by an operator"), "{problems}");
}

#[test]
fn a_drained_upstream_gets_no_new_requests_until_the_drain_is_undone() {
    let deployment = Deployment::start("drain-and-undo");
    let key = deployment.grant_key("daily");
    let call = || deployment.post(0, "/licences/grant", &key, "{}");
    assert_eq!(call().status, 200);
    deployment.ctl(&["drain", "upstream", "licences-0-0"]);
    std::thread::sleep(LEAVE_LIMIT);
    let refused = call();
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert!(refused.body.contains("\"ran\":\"no\""), "{}", refused.body);
    deployment.ctl(&["drain", "--undo", "upstream", "licences-0-0"]);
    std::thread::sleep(LEAVE_LIMIT);
    assert_eq!(call().status, 200);
}

#[test]
fn explain_follows_a_request_to_its_upstream() {
    let deployment = Deployment::start("explain");
    let key = deployment.grant_key("daily");
    let id = key.split('_').nth(1).expect("a key has an identifier");
    assert_eq!(deployment.complete(&key, "caption", 1).status, 200);
    let explain = |args: &[&str]| {
        let all = [&["explain", "-o", "json", "/v1/completions"], args].concat();
        parse_json(&deployment.ctl(&all))[0]["steps"].clone()
    };
    let last_step = |steps: &Value| steps.as_array().and_then(|s| s.last().cloned());
    let admitted = explain(&["--key", id, "--model", "caption"]);
    let step = last_step(&admitted).expect("explain lists steps");
    assert_eq!(
        (&step["part"], &step["verdict"]),
        (&"forward".into(), &"passes".into())
    );
    assert!(step["reason"].to_string().contains("runner-0-0"), "{step}");
    let unknown = last_step(&explain(&["--key", id, "--model", "no-such-model"]))
        .expect("explain lists steps");
    assert_eq!(
        (&unknown["part"], &unknown["verdict"]),
        (&"model".into(), &"refused".into())
    );
    deployment.ctl(&["keys", "withdraw", id]);
    let withdrawn =
        last_step(&explain(&["--key", id, "--model", "caption"])).expect("explain lists steps");
    assert_eq!(withdrawn["reason"], format!("the key {id} was withdrawn"));
}

#[test]
fn a_change_sent_again_with_its_request_id_is_made_once() {
    let deployment = Deployment::start("request-id");
    let args = ["keys", "grant", "daily", "--request-id", "resend-1"];
    deployment.ctl(&args);
    let (code, errors) = deployment.try_ctl(&args);
    assert_eq!(code, Some(2), "the second key was not granted: {errors}");
    let list = parse_json(&deployment.ctl(&["keys", "list", "-o", "json"]));
    assert_eq!(list["keys"].as_array().map(Vec::len), Some(1), "{list}");
}

#[test]
fn the_tables_can_be_fetched_and_applied_again() {
    let deployment = Deployment::start("get-apply");
    let tables = deployment.ctl(&["get"]);
    let file = deployment.write("fetched.json", &parse_json(&tables));
    let file = file.to_str().expect("the path is valid UTF-8");
    let applied = deployment.ctl(&["apply", "--prune", file]);
    assert!(applied.starts_with("nothing to change"), "{applied}");
}

#[test]
fn the_second_of_two_operators_who_edit_the_same_tables_gets_a_conflict() {
    let deployment = Deployment::start("conflict");
    let tables = parse_json(&deployment.ctl(&["get"]));
    let rate = |rate: u64, name: &str| {
        let mut tables = tables.clone();
        tables["customers"][0]["rate"] = rate.into();
        let file = deployment.write(name, &tables);
        file.to_str().expect("the path is valid UTF-8").to_owned()
    };
    let (first, second) = (rate(2_000, "first.json"), rate(3_000, "second.json"));
    let base = parse_json(&deployment.ctl(&["apply", "-o", "json", &first]))["base"].clone();
    let base = base.to_string();
    let (code, errors) = deployment.try_ctl(&["apply", "--base", &base, &second]);
    assert_eq!(code, Some(3), "{errors}");
    assert!(errors.contains("hint: run the command again"), "{errors}");
}

#[test]
fn metrics_report_cold_starts_tokens_and_refusals_by_customer() {
    let deployment = Deployment::start("metrics");
    let key = deployment.grant_key("daily");
    for _ in 0..2 {
        assert_eq!(deployment.complete(&key, "caption", 4).status, 200);
    }
    deployment.complete(&key, "caption", 1_000_000);
    let text = deployment.scrape();
    let value = |name: &str| {
        let line = text
            .lines()
            .find(|l| l.starts_with(name) && l.contains("\"daily\""));
        line.and_then(|l| l.rsplit(' ').next())
            .and_then(|v| v.parse::<f64>().ok())
    };
    assert_eq!(
        value("sequoiawing_cold_start_duration_seconds_count"),
        Some(1.0),
        "{text}"
    );
    let tokens = value("sequoiawing_service_tokens_total");
    assert!(tokens.is_some_and(|t| t >= 8.0), "{text}");
    assert!(
        value("sequoiawing_refused_requests_total").is_some(),
        "{text}"
    );
}

/// A shell command that doubles the rate of the only customer.
const DOUBLE_RATE: &str = "sed -i 's/\"rate\": 1000/\"rate\": 2000/' \"$1\"";

#[test]
fn an_edit_does_not_conflict_with_a_key_granted_meanwhile() {
    let deployment = Deployment::start("edit-and-grant");
    let script = format!("$CTL keys grant daily && {DOUBLE_RATE}");
    let (code, errors) = deployment.ctl_edit(&script);
    assert_eq!(code, Some(0), "{errors}");
    let tables = parse_json(&deployment.ctl(&["get"]));
    assert_eq!(tables["customers"][0]["rate"], 2_000, "{tables}");
}

#[test]
fn an_edit_that_conflicts_with_another_is_rejected_and_kept() {
    let deployment = Deployment::start("edit-and-edit");
    let script = format!(
        "$CTL get > other.json && sed -i 's/\"burst\": 10000/\"burst\": 9000/' other.json \
         && $CTL apply other.json && {DOUBLE_RATE}"
    );
    let (code, errors) = deployment.ctl_edit(&script);
    assert_eq!(code, Some(3), "{errors}");
    let kept = errors
        .lines()
        .find_map(|l| l.split_once("your edit is kept in "));
    let (_, file) = kept.expect("the file is named");
    let text = std::fs::read_to_string(file).expect("the file is kept");
    assert!(text.contains("\"rate\": 2000"), "{text}");
    std::fs::remove_file(file).expect("the file can be removed");
}

#[test]
fn budgets_show_what_each_data_centre_holds() {
    let deployment = Deployment::start("budgets-shown");
    let shown = wait("the leader to join the slots", || {
        let shown = parse_json(&deployment.ctl(&["budgets", "-o", "json"]));
        let slots = &shown["budgets"]["fleet:adapter-slots"]["centres"][0];
        let is_joined = slots["connected"] == true;
        is_joined.then_some(shown.clone()).ok_or(shown)
    });
    for budget in [
        "daily",
        "fleet:load-starts",
        "fleet:load-slots",
        "fleet:adapter-slots",
    ] {
        let centres = &shown["budgets"][budget]["centres"];
        assert_eq!(centres[0]["centre"], "centre-0", "{budget}: {shown}");
        assert_eq!(centres[0]["share"], 1_000_000, "{budget}: {shown}");
    }
    assert_eq!(shown["budgets"]["fleet:load-slots"]["limits"]["burst"], 4);
    let text = deployment.ctl(&["budgets"]);
    assert!(text.contains("BALANCE") && text.contains("daily"), "{text}");
}
