//! Tests of what routers accept from callers and what they refuse.

use crate::{
    cases,
    fleet::{Fleet, Setup, TIMEOUT, wait_until},
};
use hyper::Method;
use sequoiawing::{
    router::RouterSettings,
    runtime::{Clock, spawn},
    standin::{EngineSettings, ServiceSettings},
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

async fn start() -> Fleet {
    Fleet::start(Setup {
        engines: 1,
        services: 1,
        ..Setup::default()
    })
    .await
}

/// Starts a router with the given settings and one service.
async fn start_with(settings: RouterSettings) -> Fleet {
    Fleet::start(Setup {
        services: 1,
        settings: RouterSettings {
            farewell: 0,
            ..settings
        },
        ..Setup::default()
    })
    .await
}

/// Sends raw bytes and reads until the connection is closed.
fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).expect("the router listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is set");
    stream.write_all(bytes).expect("the bytes are sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).ok();
    text
}

cases! {
    a_request_id_is_echoed_and_forwarded {
        let fleet = start().await;
        let response = fleet.call("/grant").with_header("x-request-id", "strip-42").send().await;
        assert_eq!(response.headers["x-request-id"], "strip-42");
        let seen = fleet.services[0].recorded_requests();
        assert!(seen[0].contains("strip-42"), "{seen:?}");
    }

    a_request_without_an_id_is_given_one {
        let fleet = start().await;
        let response = fleet.call("/grant").send().await;
        let id = response.headers["x-request-id"].to_str().expect("the value is valid text").to_owned();
        assert_eq!(id.len(), 32);
        assert!(fleet.services[0].recorded_requests()[0].contains(&id));
        let refused = fleet.call("/nowhere").with_header("x-request-id", "a b").send().await;
        assert_ne!(refused.headers["x-request-id"], "a b");
    }

    refusals_name_the_code_and_the_cause {
        let fleet = start().await;
        let completion = || fleet.completion("/v1/completions", 1);
        let with = |body: &str| completion().with_body(body.to_owned());
        let deadline = |value: &str| completion().with_header("sequoiawing-deadline-ms", value);
        let calls = [
            (fleet.call("/nowhere"), 404, "not_found", "no route"),
            (completion().without("authorization"), 401, "unauthorized", "needs a key"),
            (completion().with_method(Method::GET), 405, "method_not_allowed", "POST"),
            (with("{"), 400, "bad_request", "line 1 column 1"),
            (with(r#"{"model":"x"}"#), 404, "not_found", "no model 'x'"),
            (with(r#"{"model":"caption","max_tokens":0}"#), 400, "bad_request", "max_tokens"),
            (
                with(r#"{"model":"caption","max_tokens":18446744073709551615}"#),
                400, "bad_request", "max_tokens",
            ),
            (deadline("0"), 400, "bad_request", "sequoiawing-deadline-ms"),
            (deadline("-5"), 400, "bad_request", "sequoiawing-deadline-ms"),
            (deadline("3600001"), 400, "bad_request", "sequoiawing-deadline-ms"),
            (deadline("99999999999999999999"), 400, "bad_request", "sequoiawing-deadline-ms"),
        ];
        for (call, status, code, cause) in calls {
            let response = call.clone().send().await;
            assert_eq!(response.status, status, "{call:?}: {:?}", response.body);
            assert_eq!(response.code(), code, "{call:?}");
            assert_eq!(response.ran(), "no", "{call:?}");
            assert!(response.text().contains(cause), "{call:?}: {}", response.text());
        }
        assert!(fleet.engines[0].recorded_requests().is_empty());
    }

    a_chat_is_answered_with_and_without_streaming {
        let fleet = start().await;
        let body = r#"{"model":"caption","messages":[{"role":"user","content":"a strip"}],
            "max_completion_tokens":3,"stream":true}"#;
        let streamed = fleet.call("/v1/chat/completions").with_body(body).send().await;
        assert_eq!(streamed.text().matches(r#""delta":{"content":"w"#).count(), 3);
        assert!(streamed.text().ends_with("data: [DONE]\n\n"));
        let unstreamed = fleet.call("/v1/chat/completions").with_body(body.replace("true", "false"));
        let unstreamed = unstreamed.send().await;
        assert!(unstreamed.text().contains(r#""content":"w0 w1 w2""#), "{}", unstreamed.text());
    }

    services_answer_every_method_and_are_found_by_host {
        let fleet = start().await;
        let got = fleet.call("/look/7?x=1").with_method(Method::GET).with_body("").send().await;
        assert_eq!(got.text(), "done: ");
        let head = fleet.call("/look/7").with_method(Method::HEAD).with_body("").send().await;
        assert_eq!((head.status.as_u16(), head.text()), (200, ""));
        assert_eq!(head.headers["content-length"], "6");
        let by_host = fleet.call("/anything").with_header("host", "Licences.Example:80");
        assert_eq!(by_host.send().await.text(), "done: grant 7");
        let elsewhere = fleet.call("/anything").with_header("host", "other.example");
        assert_eq!(elsewhere.send().await.status, 404);
    }

    a_body_above_the_limit_is_refused {
        let fleet = start_with(RouterSettings { body: 1_000, ..RouterSettings::default() }).await;
        let response = fleet.call("/grant").with_body("x".repeat(1_001)).send().await;
        assert_eq!((response.status.as_u16(), response.code().as_str()), (413, "body_too_large"));
        assert_eq!(fleet.call("/grant").with_body("x".repeat(1_000)).send().await.status, 200);
        assert_eq!(fleet.runs(), 1);
    }

    a_refusal_reaches_a_caller_that_still_sends {
        let fleet = start_with(RouterSettings { body: 1_000, ..RouterSettings::default() }).await;
        let length = 8_000_000;
        let mut request = format!(
            "POST /grant HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
             Content-Length: {length}\r\n\r\n",
            fleet.key.reveal(),
        ).into_bytes();
        request.resize(request.len() + length, b'x');
        let response = send_raw(fleet.routers[0].callers(), &request);
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        assert!(response.contains("\"code\":\"body_too_large\""), "{response}");
    }

    a_body_that_stops_half_way_is_refused {
        let fleet = start_with(RouterSettings { upload: 200, ..RouterSettings::default() }).await;
        let key = fleet.key.reveal();
        let request = format!(
            "POST /grant HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
             Content-Length: 10\r\n\r\nhalf"
        );
        let response = send_raw(fleet.routers[0].callers(), request.as_bytes());
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert!(response.contains("\"code\":\"body_timeout\""), "{response}");
        assert!(response.contains("\"ran\":\"no\""), "{response}");
        assert_eq!(fleet.runs(), 0);
    }

    headers_above_the_limit_are_refused {
        let fleet = start().await;
        let head = format!("GET /look HTTP/1.1\r\nHost: x\r\nX: {}\r\n\r\n", "x".repeat(40_000));
        let response = send_raw(fleet.routers[0].callers(), head.as_bytes());
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
        assert!(response.contains("\"code\":\"headers_too_large\""), "{response}");
        assert!(response.contains("sequoiawing-ran: no"), "{response}");
        assert_eq!(fleet.runs(), 0);
    }

    bytes_that_are_not_a_request_are_refused {
        let fleet = start().await;
        let to = fleet.routers[0].callers();
        let good = format!(
            "GET /look HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\r\n",
            fleet.key.reveal(),
        );
        for bad in ["\x16\x03\x01\x02\r\n\r\n", "GET /look\r\n\r\n", "GET / HTTP/1.1\r\nx y\r\n\r\n"] {
            let response = send_raw(to, bad.as_bytes());
            assert!(response.starts_with("HTTP/1.1 400"), "{bad:?}: {response}");
            assert!(response.contains("\"code\":\"bad_request\""), "{bad:?}: {response}");
            assert!(response.contains("\"ran\":\"no\""), "{bad:?}: {response}");
        }
        // The same applies to invalid bytes that follow a valid request on the same
        // connection.
        let mut stream = TcpStream::connect(to).expect("the router listens");
        stream.write_all(good.as_bytes()).expect("the bytes are sent");
        let mut first = Vec::new();
        while !first.ends_with(b"done: ") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("the request is answered");
            first.push(byte[0]);
        }
        stream.write_all(b"rubbish\r\n\r\n").expect("the bytes are sent");
        let mut rest = String::new();
        stream.read_to_string(&mut rest).expect("the value is valid text");
        assert!(rest.contains("HTTP/1.1 400"), "{rest}");
        assert!(rest.contains("\"code\":\"bad_request\""), "{rest}");
        assert_eq!(fleet.runs(), 1);
    }

    headers_that_never_end_time_out {
        let settings = RouterSettings { header_wait: 200, ..RouterSettings::default() };
        let fleet = start_with(settings).await;
        let clock = Clock::start();
        send_raw(fleet.routers[0].callers(), b"GET /look HTTP/1.1\r\nHost: x\r\n");
        assert!(clock.elapsed() < TIMEOUT);
        assert_eq!(fleet.runs(), 0);
    }

    a_connection_above_the_limit_is_refused {
        let settings = RouterSettings { connections: 2, ..RouterSettings::default() };
        let fleet = start_with(settings).await;
        let to = fleet.routers[0].callers();
        let open_connections: Vec<TcpStream> = (0..2)
            .map(|_| TcpStream::connect(to).expect("the router listens"))
            .collect();
        let response = send_raw(to, b"GET /look HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("\"code\":\"overloaded\""), "{response}");
        assert!(response.contains("retry-after: 1"), "{response}");
        drop(open_connections);
        let served = || async { fleet.call("/look").send().await.status == 200 };
        wait_until("the connections are free", served).await;
    }

    a_caller_that_does_not_read_is_disconnected_and_frees_the_slot {
        let fleet = Fleet::start(Setup {
            engines: 1,
            settings: RouterSettings {
                caller_stall: 300,
                farewell: 0,
                ..RouterSettings::default()
            },
            engine: EngineSettings {
                load: 20,
                first: 0,
                gap: 0,
                // Large events fill all buffers quickly, also on a busy machine.
                padding: 16 * 1_024,
                interval: 50,
                ..EngineSettings::default()
            },
            ..Setup::default()
        }).await;
        fleet.load_model().await;
        let body = r#"{"model":"caption","prompt":"p","max_tokens":1000000,"stream":true}"#;
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            fleet.key.reveal(),
            body.len(),
        );
        let mut stream = TcpStream::connect(fleet.routers[0].callers()).expect("the router listens");
        stream.write_all(request.as_bytes()).expect("the bytes are sent");
        wait_until("the request runs", || std::future::ready(fleet.engines[0].running() == 1)).await;
        wait_until("the slot is free", || std::future::ready(fleet.engines[0].running() == 0)).await;
        wait_until("the request is closed", || async { fleet.status(0).await.open == 0 }).await;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).ok();
        assert!(!response.ends_with(b"[DONE]\n\n\r\n0\r\n\r\n"), "the response is complete");
    }

    a_deadline_is_kept_while_waiting_and_for_the_first_byte {
        let fleet = Fleet::start(Setup {
            engines: 1,
            services: 1,
            service: ServiceSettings {
                work: 60_000_000,
                interval: 50,
                ..ServiceSettings::default()
            },
            ..Setup::default()
        }).await;
        let clock = Clock::start();
        let late = fleet.call("/grant").with_header("sequoiawing-deadline-ms", "200").send().await;
        assert_eq!((late.code().as_str(), late.ran().as_str()), ("upstream_failed", "unknown"));
        assert!(clock.elapsed() < Duration::from_secs(10));
        let cold = fleet.completion("/v1/completions", 1);
        let cold = cold.with_header("sequoiawing-deadline-ms", "1").send().await;
        assert_eq!((cold.code().as_str(), cold.ran().as_str()), ("too_late", "no"));
        assert!(cold.headers.contains_key("retry-after"));
    }

    a_caller_that_disconnects_cancels_its_request_and_frees_the_slot {
        let fleet = start().await;
        fleet.load_model().await;
        let call = spawn(fleet.completion("/v1/completions", 900_000).begin());
        wait_until("the request runs", || std::future::ready(fleet.engines[0].running() == 1)).await;
        let response = call.await;
        assert_eq!(fleet.status(0).await.open, 1);
        drop(response);
        wait_until("the request ends", || std::future::ready(fleet.engines[0].running() == 0)).await;
        wait_until("the request is closed", || async { fleet.status(0).await.open == 0 }).await;
    }
}
