//! Quorums under fences: any two of one replica set meet, whatever was known where, as long as fences are decided in one order.

mod common;

use std::collections::BTreeSet;

use common::members;
use rainlug_consensus::{MemberId, Quorums};

/// All sets of `1..=size`.
fn subsets(size: u64) -> impl Iterator<Item = BTreeSet<MemberId>> {
    (0..1u64 << size).map(move |bits| (1..=size).filter(|id| bits >> (id - 1) & 1 == 1).collect())
}

/// All sets that are quorums under some prefix of this order of fences.
fn quorums(size: u64, order: &[MemberId]) -> Vec<BTreeSet<MemberId>> {
    let ids: Vec<MemberId> = (1..=size).collect();
    let replica_set = members(&ids);
    let mut found = vec![];
    for fences in 0..=order.len() {
        let fenced: BTreeSet<MemberId> = order[..fences].iter().copied().collect();
        let quorums = Quorums::new(&replica_set, &fenced);
        found.extend(subsets(size).filter(|set| quorums.is_met(|id| set.contains(&id))));
    }
    found
}

fn disjoint_pair(found: &[BTreeSet<MemberId>]) -> Option<(BTreeSet<MemberId>, BTreeSet<MemberId>)> {
    let pairs = found.iter().flat_map(|one| found.iter().map(move |two| (one, two)));
    pairs.filter(|(one, two)| one.is_disjoint(two)).map(|(one, two)| (one.clone(), two.clone())).next()
}

/// All orders of up to three of `1..=size`.
fn orders(size: u64) -> Vec<Vec<MemberId>> {
    let mut all: Vec<Vec<MemberId>> = vec![vec![]];
    for length in 1..=3 {
        let shorter: Vec<Vec<MemberId>> =
            all.iter().filter(|order| order.len() == length - 1).cloned().collect();
        for order in shorter {
            let more = (1..=size).filter(|id| !order.contains(id));
            all.extend(more.map(|id| [order.clone(), vec![id]].concat()));
        }
    }
    all
}

#[test]
fn given_fences_in_one_order_when_any_two_quorums_form_then_they_meet() {
    for size in 1..=6 {
        for order in orders(size) {
            assert_eq!(disjoint_pair(&quorums(size, &order)), None, "{size} members, fences {order:?}");
        }
    }
}

#[test]
fn given_fences_in_conflicting_orders_then_two_quorums_of_an_even_replica_set_do_not_meet() {
    for size in [2, 4, 6] {
        let mut found = quorums(size, &[1]);
        found.extend(quorums(size, &[2]));
        assert!(disjoint_pair(&found).is_some(), "{size} members");
    }
}

#[test]
fn given_an_even_replica_set_when_one_fenced_disk_is_lost_then_the_other_half_is_a_quorum() {
    for size in [2, 4, 6] {
        let half: BTreeSet<MemberId> = (1..=size / 2).collect();
        assert!(!quorums(size, &[]).contains(&half), "{size} members without a fence");
        assert!(quorums(size, &[size]).contains(&half), "{size} members");
    }
}

#[test]
fn given_values_of_members_then_what_is_reached_is_what_the_best_quorum_has() {
    let replica_set = members(&[1, 2, 3, 4]);
    let value = |member: &rainlug_consensus::Member| [40, 30, 20, 10][member.id as usize - 1];
    let none = BTreeSet::new();
    assert_eq!(Quorums::new(&replica_set, &none).reached(value), 20);
    let fenced = BTreeSet::from([4]);
    assert_eq!(Quorums::new(&replica_set, &fenced).reached(value), 30);
    let fenced = BTreeSet::from([1]);
    assert_eq!(Quorums::new(&replica_set, &fenced).reached(value), 20);
}
