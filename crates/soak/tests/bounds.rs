//! What troubles may ask of a tier: disks that count as lost, and cuts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rainlug_soak::losses::Losses;
use rainlug_soak::network::Network;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|&name| name.to_owned()).collect()
}

#[test]
fn a_wiped_disk_counts_until_it_had_its_time_to_be_refilled() {
    let mut losses = Losses::new(1, seconds(5));
    assert_eq!(losses.allowed(), 1);
    losses.wiped("a");
    losses.passed(seconds(9), &names(&["a"]));
    assert_eq!(losses.allowed(), 0, "it is not back");
    losses.passed(seconds(9), &names(&["b"]));
    assert_eq!(losses.allowed(), 0, "another one is away, which might have refilled it");
    losses.passed(seconds(4), &[]);
    assert!(losses.counts("a"));
    losses.passed(seconds(1), &[]);
    assert_eq!(losses.allowed(), 1);
}

#[test]
fn with_two_tolerated_another_one_may_be_away_meanwhile() {
    let mut losses = Losses::new(2, seconds(5));
    losses.wiped("a");
    losses.passed(seconds(5), &names(&["b"]));
    assert_eq!(losses.allowed(), 2);
}

#[test]
fn a_cut_is_told_to_both_sides() {
    let peers: Vec<SocketAddr> = (2..5).map(|n| SocketAddr::from(([127, 0, 0, n], 7))).collect();
    let set = |n: usize| BTreeSet::from([peers[n]]);
    let mut network = Network::default();
    let both = network.cut(set(0), set(1), false);
    assert_eq!(network.faults_of(peers[0], &peers), "reset 0\nto 127.0.0.3:7\nfrom 127.0.0.3:7\n");
    assert_eq!(network.faults_of(peers[2], &peers), "reset 0\n");
    network.heal(both);
    network.cut(set(0), set(2), true);
    network.reset();
    assert_eq!(network.faults_of(peers[0], &peers), "reset 1\nto 127.0.0.4:7\n");
    assert_eq!(network.faults_of(peers[2], &peers), "reset 1\nfrom 127.0.0.2:7\n");
    assert_eq!(network.impaired(), set(0));
}
