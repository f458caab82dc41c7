//! Prints the bytes, processor time and latency of tunnels to upstreams that a gateway has
//! lost: `cargo run --profile deploy -p capacity --bin tunnels`. See
//! docs/design/tunnels.md.

use async_net::{TcpListener, TcpStream};
use capacity::{encoded_bytes, mean_micros};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use sequoiawing_http::run_tunnel;
use sequoiawing_link::{
    ConnectionHandler, GatewayReport, LinkListener, NamedTunnelHost, Secret, SyncReply,
    TunnelRequest, TunnelStatus, open_tunnel,
};
use sequoiawing_policy::serving::{
    PathSettings, TunnelCandidate, TunnelHost, UpstreamPaths, Via, choose_tunnel_hosts,
};
use sequoiawing_runtime::{Shutdown, run, spawn};
use sequoiawing_types::{Name, Time};
use std::{
    hint::black_box,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Instant,
};

/// The numbers of hosts, of hubs among them and of upstreams, the hubs that a gateway
/// follows, and its reports to one hub per second.
const DEPLOYMENTS: [(usize, usize, usize, f64, f64); 3] = [
    (9, 3, 12, 3.0, 4.0),
    (80, 5, 120, 2.0, 4.0),
    (300, 9, 400, 2.0, 2.4),
];

/// The share of upstreams that a gateway has reached within the last moments.
const ACTIVE: usize = 3;

/// The bytes that are passed through a tunnel to measure its time.
const VOLUME: usize = 64 * 1024 * 1024;

/// The size of an answer of a plain service, with its head.
const ANSWER: usize = 1_100;

fn names(kind: &str, count: usize) -> Vec<Name> {
    (0..count)
        .map(|n| Name::from(format!("{kind}-{n:010x}")))
        .collect()
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Prints what one deployment costs while half of its gateways have lost all upstreams.
fn print_deployment(deployment: (usize, usize, usize, f64, f64)) {
    let (hosts, hubs, upstreams, followed, reports) = deployment;
    let gateways = names("edge", hosts - hubs);
    let upstreams = names("i", upstreams);
    let reached: Vec<Name> = upstreams.iter().step_by(ACTIVE).cloned().collect();
    let candidate = |(n, host)| TunnelCandidate {
        host,
        reached: if n % 2 == 0 { &[][..] } else { &reached },
        lost: if n % 2 == 0 { &upstreams[..] } else { &[] },
    };
    let candidates: Vec<_> = gateways.iter().enumerate().map(candidate).collect();
    let choose = mean_micros(|| {
        black_box(choose_tunnel_hosts(&gateways[0], &upstreams, &candidates));
    });
    let report = GatewayReport {
        lost: upstreams.clone(),
        ..GatewayReport::default()
    };
    let host = |n: usize| NamedTunnelHost {
        host: gateways[n].clone(),
        address: local(7_603),
        reachable: (0..upstreams.len()).collect(),
    };
    let reply = SyncReply {
        tunnel_hosts: (0..4.min(gateways.len())).map(host).collect(),
        ..SyncReply::default()
    };
    let grown = encoded_bytes(&report) - encoded_bytes(&GatewayReport::default());
    let told = encoded_bytes(&reply) - encoded_bytes(&SyncReply::default());
    let gateway = reports * followed * (grown + told);
    let requesters = gateways.len().div_ceil(2);
    let calls = reports * followed * f64::from(u32::try_from(requesters).unwrap_or(u32::MAX));
    let hub = calls / f64::from(u32::try_from(hubs).unwrap_or(u32::MAX));
    let core = hub * choose / 1e6;
    println!(
        "| {hosts} | {} | {grown:.0} B | {told:.0} B | {:.1} KB/s | {choose:.0} µs | {core:.4} |",
        upstreams.len(),
        gateway / 1e3,
    );
}

fn print_ways() {
    let upstreams = names("i", 400);
    let mut paths = UpstreamPaths::new(PathSettings::default());
    for upstream in &upstreams {
        paths.record(Time::ZERO, upstream, Via::Direct, false);
    }
    let host = |n: u16| TunnelHost {
        address: local(7_600 + n),
        reachable: upstreams.iter().cloned().collect(),
    };
    paths.set_hosts(Time::ZERO, local(1), (0..4).map(host).collect());
    let order = mean_micros(|| {
        black_box(paths.connect_order(Time::ZERO, &upstreams[7]));
    });
    println!("order the paths of a connect: {order:.2} µs");
}

/// Serves answers, or bytes without end if the request begins with `v`.
async fn serve(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        spawn(async move {
            stream.set_nodelay(true).ok();
            let mut request = [0; 64];
            let answer = vec![7; ANSWER];
            let volume = vec![7; 64 * 1024];
            while let Ok(count) = stream.read(&mut request).await {
                if count == 0 {
                    return;
                }
                if request[0] == b'v' {
                    while stream.write_all(&volume).await.is_ok() {}
                    return;
                }
                if stream.write_all(&answer).await.is_err() {
                    return;
                }
            }
        })
        .detach();
    }
}

fn handler() -> ConnectionHandler {
    Box::new(|connection| {
        Box::pin(async move {
            let tunnel = async {
                let request = TunnelRequest::read(connection).await?;
                let server = TcpStream::connect(request.upstream).await?;
                server.set_nodelay(true).ok();
                let client = request.answer(TunnelStatus::Connected).await?;
                run_tunnel(client, server).await;
                io::Result::Ok(())
            };
            tunnel.await.ok();
        })
    })
}

/// Sends a request and reads its answer; `frame` is the length of a frame's header.
async fn exchange(stream: &mut TcpStream, frame: usize) -> io::Result<()> {
    stream.write_all(&[b'r'; 64]).await?;
    let mut answer = vec![0; ANSWER + frame];
    stream.read_exact(&mut answer).await
}

async fn print_latency() -> io::Result<()> {
    let server = TcpListener::bind(local(0)).await?;
    let address = server.local_addr()?;
    spawn(serve(server)).detach();
    let secret = Secret::from("a secret for the tool");
    let listener = LinkListener::bind(local(0), secret.clone()).await?;
    let host = listener.address()?;
    spawn(listener.serve(handler(), Shutdown::new())).detach();
    let rounds = 2_000_u32;
    let mut direct = TcpStream::connect(address).await?;
    direct.set_nodelay(true)?;
    let start = Instant::now();
    for _ in 0..rounds {
        exchange(&mut direct, 0).await?;
    }
    let direct_time = start.elapsed() / rounds;
    let start = Instant::now();
    for _ in 0..rounds {
        drop(TcpStream::connect(address).await?);
    }
    let connect_time = start.elapsed() / rounds;
    let open = async || {
        open_tunnel(host, &secret, address)
            .await
            .map_err(io::Error::other)
    };
    let start = Instant::now();
    for _ in 0..rounds {
        drop(open().await?);
    }
    let open_time = start.elapsed() / rounds;
    let mut tunnel = open().await?;
    let start = Instant::now();
    for _ in 0..rounds {
        exchange(&mut tunnel, 2).await?;
    }
    let tunnel_time = start.elapsed() / rounds;
    println!("connect {connect_time:?}, open a tunnel {open_time:?}");
    println!("request {direct_time:?}, through a tunnel {tunnel_time:?}");
    let mut volume = open().await?;
    volume.write_all(&[b'v'; 64]).await?;
    let start = Instant::now();
    let mut buffer = vec![0; 64 * 1024];
    let mut received = 0;
    while received < VOLUME {
        received += volume.read(&mut buffer).await?;
    }
    println!(
        "{} MiB through a tunnel in {:?}",
        VOLUME >> 20,
        start.elapsed()
    );
    Ok(())
}

fn main() {
    println!("| hosts | upstreams | report | reply | gateway | choice | hub, cores |");
    for deployment in DEPLOYMENTS {
        print_deployment(deployment);
    }
    print_ways();
    if let Err(error) = run(print_latency()) {
        eprintln!("latency: {error}");
    }
}
