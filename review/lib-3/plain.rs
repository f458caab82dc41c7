//! The configuration of a small deployment with one plain service, as PROTOCOL.md shows it.

pub const HOST: &str = "ficu95.example";
pub const PATH: &str = "/puxa403/";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

pub fn plain_service(version: u64, tenant: &str) -> String {
    with_quota(version, tenant, "98717")
}

/// The same with a quota of the tenant: `rate_per_s` and `burst`.
pub fn with_quota(version: u64, tenant: &str, quota: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PATH}\",\
         \"route_kind\":\"non_idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":300,\
         \"priority\":0,\"service\":\"wuno96b\",\"max_attempts\":2,\"public\":false,\
         \"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{tenant}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":{quota},\"burst\":{quota}}}]}}"
    )
}
