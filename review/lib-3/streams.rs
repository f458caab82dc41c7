//! The configuration of a small deployment with one route of streams, as PROTOCOL.md shows it.

pub const HOST: &str = "ficu95.example";
pub const PATH: &str = "/pufi791/";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const MODEL: &str = "daka510000";

pub fn configuration(is_resumable: bool) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PATH}\",\
         \"route_kind\":\"streaming\",\"timeout_ms\":13000,\"target_latency_ms\":2000,\"priority\":0,\
         \"service\":\"huvo11a\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":{is_resumable},\"gap_aim_ms\":600}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\"max_conns\":230,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kv_tokens\":218998,\
         \"kv_bytes\":327680,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":5,\
         \"cap\":12,\"host_mb\":130000.0,\"disk_mb\":1300000.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"{MODEL}\",\"weights_mb\":65500.0,\"load_s\":6.0,\
         \"adapters\":28,\"adapter_mb\":40.0,\"warm_s\":0.38,\"disk_s\":0.49}}],\
         \"weights_mb\":200000.0,\"adapter_slots\":8,\"loads_per_s\":15.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":98717,\"burst\":98717}}]}}"
    )
}
