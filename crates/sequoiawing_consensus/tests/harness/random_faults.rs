//! Runs with random faults, followed by a check that the deployment recovers.

use super::{Cluster, Fault, MS, Micros, Network, SECOND};
use sequoiawing_consensus::{Event, MemberChange};
use sequoiawing_types::Name;

/// The number of faults injected in a run.
const FAULTS_PER_RUN: u64 = 60;

fn host(cluster: &mut Cluster) -> Name {
    let hosts: Vec<_> = cluster.nodes.keys().cloned().collect();
    let i = cluster.random_below(hosts.len() as u64);
    hosts[usize::try_from(i).expect("the index must fit into usize")].clone()
}

/// Returns `true` if no acknowledged entry can be lost when one more disk is lost.
fn can_wipe(cluster: &Cluster) -> bool {
    let Some(members) = cluster.members() else {
        return false;
    };
    let voters: Vec<_> = members.voters().collect();
    let is_present = |id| {
        let mut nodes = cluster.nodes.keys().filter(|h| cluster.is_up(h));
        nodes.any(|h| cluster.disk_id(h) == id)
    };
    let leader = cluster
        .leader()
        .expect("a deployment with known members must have a leader");
    let commit = cluster.replica(&leader).commit();
    let is_settled = commit == cluster.replica(&leader).last().index;
    voters.len() >= 3 && voters.into_iter().all(is_present) && is_settled
}

fn inject_fault(cluster: &mut Cluster, wipes: bool) {
    let host = host(cluster);
    match cluster.random_below(12) {
        0 | 1 if cluster.is_up(&host) => cluster.crash(&host),
        0..=3 if !cluster.is_up(&host) => cluster.start(&host),
        2 if wipes && can_wipe(cluster) => cluster.wipe(&host),
        4 => {
            let span = cluster.random_below(3 * SECOND);
            cluster.freeze(&host, span);
        }
        5 | 6 => {
            let other = self::host(cluster);
            cluster.cut(&host, &other);
            if cluster.random_below(2) == 0 {
                cluster.cut(&other, &host);
            }
        }
        7 | 8 => cluster.cuts.clear(),
        9 if cluster.is_up(&host) => {
            cluster.handle_event(&host, Event::Shutdown);
            cluster.run(300 * MS);
            cluster.crash(&host);
            cluster.start(&host);
        }
        10 => {
            let token = cluster.token();
            let extra = Name::from("e");
            let change = if cluster.random_below(2) == 0 {
                MemberChange::AddVoter(extra)
            } else {
                MemberChange::Remove(extra)
            };
            if let Some(leader) = cluster.leader() {
                cluster.handle_event(&leader, Event::ChangeMembers { token, change });
            }
        }
        _ => {}
    }
}

fn send_requests(cluster: &mut Cluster, span: Micros, command: &mut u64) {
    for _ in 0..4 {
        let at = match cluster.leader() {
            Some(leader) if cluster.random_below(4) > 0 => leader,
            _ => host(cluster),
        };
        if cluster.is_up(&at) {
            *command += 1;
            cluster.propose(&at, &format!("c{command}"));
            cluster.read(&at);
        }
        cluster.run(span / 4);
    }
}

/// Injects random faults while requests are sent.
pub(crate) fn run_random_faults(seed: u64, fault: Fault) {
    let mut cluster = Cluster::new(seed, &["a", "b", "c"], Network::RELIABLE);
    cluster.fault = fault;
    cluster.add(&Name::from("e"));
    cluster.run(4 * SECOND);
    assert!(cluster.leader().is_some(), "a first leader must be elected");
    let mut command = 0;
    cluster.network = Network::LOSSY;
    for _ in 0..FAULTS_PER_RUN {
        inject_fault(&mut cluster, true);
        let span = cluster.random_below(1_200 * MS);
        send_requests(&mut cluster, span, &mut command);
    }
    cluster.heal();
    cluster.run(15 * SECOND);
    check_recovery(&mut cluster);
}

/// Repeatedly cuts the leader off while the other hosts restart.
pub(crate) fn run_lease_faults(seed: u64, fault: Fault) {
    let mut cluster = Cluster::new(seed, &["a", "b", "c"], Network::RELIABLE);
    cluster.fault = fault;
    cluster.run(4 * SECOND);
    for _ in 0..10 {
        let leader =
            next_leader(&mut cluster).expect("a deployment without faults must have a leader");
        let hosts: Vec<_> = cluster.nodes.keys().cloned().collect();
        let others: Vec<_> = hosts.into_iter().filter(|h| *h != leader).collect();
        if cluster.random_below(2) == 0 {
            renew_lease_with_one_voter(&mut cluster, &leader, &others);
        }
        for other in &others {
            let pause = cluster.random_below(50 * MS);
            cluster.run(pause);
            cluster.crash(other);
            cluster.start(other);
        }
        let pause = cluster.random_below(300 * MS);
        cluster.run(pause);
        for other in &others {
            cluster.cut(&leader, other);
            cluster.cut(other, &leader);
        }
        cluster.run(3 * SECOND);
        cluster.heal();
        cluster.run(3 * SECOND);
    }
    check_recovery(&mut cluster);
}

/// Cuts the leader off from one voter, so that the lease depends on the other
/// one, which restarts repeatedly while the first one tries to become leader.
fn renew_lease_with_one_voter(cluster: &mut Cluster, leader: &Name, others: &[Name]) {
    cluster.cut(leader, &others[0]);
    cluster.cut(&others[0], leader);
    cluster.run(2 * SECOND);
    for _ in 0..20 {
        let pause = cluster.random_below(250 * MS);
        cluster.run(pause);
        cluster.crash(&others[1]);
        cluster.start(&others[1]);
    }
}

/// Cuts each leader of five hosts off from some of them and kills it soon after,
/// so that entries of several terms compete for the same indexes.
pub(crate) fn run_term_faults(seed: u64, fault: Fault) {
    let mut cluster = Cluster::new(seed, &["a", "b", "c", "d", "e"], Network::RELIABLE);
    cluster.fault = fault;
    cluster.run(4 * SECOND);
    cluster.network = Network {
        loss: 250,
        split: true,
        ..Network::LOSSY
    };
    for command in 0..60 {
        let leader = next_leader(&mut cluster);
        if let Some(leader) = leader {
            cut_random_links(&mut cluster, &leader);
            cluster.propose(&leader, &format!("c{command}"));
            let pause = cluster.random_below(80 * MS);
            cluster.run(pause);
            cluster.crash(&leader);
            cluster.cuts.clear();
        }
        let down: Vec<_> = cluster.nodes.keys().cloned().collect();
        let down: Vec<_> = down.into_iter().filter(|h| !cluster.is_up(h)).collect();
        if down.len() > 1 || cluster.random_below(3) == 0 {
            let i = cluster.random_below(down.len() as u64);
            if let Some(host) = down.get(usize::try_from(i).expect("the index must fit into usize"))
            {
                cluster.start(host);
            }
        }
    }
    cluster.heal();
    cluster.run(15 * SECOND);
    check_recovery(&mut cluster);
}

/// Runs until there is a leader, for at most 4 s.
fn next_leader(cluster: &mut Cluster) -> Option<Name> {
    for _ in 0..4_000 {
        cluster.run(MS);
        let leader = cluster.leader();
        if leader.is_some() {
            return leader;
        }
    }
    None
}

fn cut_random_links(cluster: &mut Cluster, leader: &Name) {
    let hosts: Vec<_> = cluster.nodes.keys().cloned().collect();
    for other in hosts.iter().filter(|h| *h != leader) {
        if cluster.random_below(4) < 3 {
            cluster.cut(leader, other);
        }
    }
}

/// Checks that a deployment without faults commits and reads, and that all hosts
/// have the same state.
fn check_recovery(cluster: &mut Cluster) {
    let leader = cluster
        .leader()
        .expect("a deployment without faults must have a leader");
    let token = cluster.propose(&leader, "last");
    let read = cluster.read(&leader);
    cluster.run(2 * SECOND);
    assert!(
        cluster.answers[&token].is_ok(),
        "a deployment without faults must commit"
    );
    assert!(
        cluster.answers[&read].is_ok(),
        "a deployment without faults must answer reads"
    );
    let members = cluster.members().expect("there must be a leader");
    for host in &members.voter_hosts {
        assert!(members.voter_of(host).is_some(), "{host} must vote again");
    }
    let expected = cluster.nodes[&leader].state;
    for member in &members.members {
        let state = cluster.nodes[&member.host].state;
        assert_eq!(state, expected, "{} must have caught up", member.host);
    }
}
