//! What asking a budget costs an assignment, beside a call that asks nobody: `cargo bench -p rainlug-budgets`.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{Criterion, criterion_group, criterion_main};
use rainlug_budgets::{Budget, Kind, Outgoing, Party, Terms, Time, UNIT, Ways};

struct Nowhere;

impl Outgoing for Nowhere {
    fn send(&mut self, _: SocketAddr, _: &[u8]) {}
    fn divides(&mut self, _: Option<SocketAddr>, _: u32) {}
    fn differs(&mut self, _: SocketAddr, _: bool) {}
    fn changed(&mut self) {}
}

/// Whoever is asked where nothing is counted.
trait Asked {
    fn may(&mut self, nth: usize, now: Time) -> Result<Time, Time>;
}

struct Free;

impl Asked for Free {
    fn may(&mut self, _: usize, _: Time) -> Result<Time, Time> {
        Ok(Time::MAX)
    }
}

struct Counted(Party);

impl Asked for Counted {
    fn may(&mut self, nth: usize, now: Time) -> Result<Time, Time> {
        let until = self.0.may(nth, now, 0)?;
        self.0.take(nth);
        self.0.back(nth, 1);
        Ok(until)
    }
}

fn party() -> Party {
    let budget =
        |name: &str, kind| Budget { name: name.into(), kind, whole: 1000 * UNIT, reserve: 1000 * UNIT };
    let terms = Terms {
        roster: vec!["n0".into()],
        voters: vec!["n0".into()],
        grant: 2_000_000,
        lease: 1_000_000,
        drift: 10_000,
        budgets: vec![
            budget("rate", Kind::Rate { burst: 1_000_000_000 * UNIT }),
            budget("at once", Kind::Occupancy { longest: 1_000_000 }),
        ],
    };
    let mut party = Party::new(terms, 0, 1, Ways::default(), 1, 0);
    party.alone(0);
    (0..100).for_each(|n| party.due(n * 100_000, &mut Nowhere));
    party
}

fn check(c: &mut Criterion) {
    let mut free: Box<dyn Asked> = Box::new(Free);
    c.bench_function("uncounted", |b| b.iter(|| free.may(black_box(0), black_box(20_000_000))));
    for (nth, name) in [(0, "rate"), (1, "occupancy")] {
        let mut counted: Box<dyn Asked> = Box::new(Counted(party()));
        let mut now = 20_000_000;
        c.bench_function(name, |b| {
            b.iter(|| {
                now += 1_000;
                counted.may(black_box(nth), black_box(now))
            });
        });
    }
    let mut used_up = party();
    (0..1000).for_each(|_| used_up.take(1));
    c.bench_function("used up", |b| b.iter(|| used_up.may(black_box(1), black_box(20_000_000), 3)));
}

criterion_group!(benches, check);
criterion_main!(benches);
