//! Histories of the configuration register: what operators invoked, what was responded, and whether some order of it explains all
//! (linearizability; Herlihy and Wing 1990, checked as Wing and Gong 1993 do, with the states seen remembered).
//!
//! The register takes a put by compare-and-set on its version. An order that was taken is taken once, and is acknowledged whenever
//! it comes again. A put without a clear answer may take effect at any time after its invocation, or never.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use rainlug::{SECOND, Time};

/// Which text: two puts with the same text are the same order.
pub type OrderId = usize;

/// Callers move on after this long.
pub const CALLER_TIMEOUT: Time = SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invocation {
    Put {
        order: OrderId,
        base: u64,
        version: u64,
    },
    /// A put that cannot be valid, whatever is current.
    PutMalformed,
    Get,
    /// A machine was seen to act on this order.
    InForce {
        order: OrderId,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    Accepted,
    /// 412.
    Conflict,
    /// 400.
    Invalid,
    /// What a get returned; none where there is no configuration.
    Value(Option<OrderId>),
    /// No answer in time, or a 5xx.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    pub invocation: Invocation,
    pub response: Response,
    pub invoked: Time,
    /// When the answer came; `Time::MAX` where none did.
    pub responded: Time,
    /// From the invocation to the response its machine could not exchange messages with a majority of the core.
    pub without_quorum: bool,
    /// The machine ran all the while: it must answer in time.
    pub undisturbed: bool,
}

impl Operation {
    fn known(&self) -> bool {
        self.response != Response::Unknown
    }

    fn refused(&self) -> bool {
        matches!(self.response, Response::Conflict | Response::Invalid)
    }
}

/// What is wrong with a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    MalformedAccepted,
    /// Two different orders on one base were both acknowledged.
    TwoAcceptedOnOneBase {
        base: u64,
    },
    /// An order that was refused was also acknowledged, or came into force.
    RefusedAndTaken {
        order: OrderId,
    },
    /// A get returned something older than what was acknowledged before it was invoked.
    StaleRead {
        version: u64,
        acknowledged: u64,
    },
    /// A refusal or a read by a machine that could not hear of the others.
    AnsweredWithoutQuorum {
        operation: usize,
    },
    AnsweredLate {
        operation: usize,
    },
    /// No sequential order of the operations explains the responses.
    NotLinearizable,
}

/// Orders by their number: base and version.
pub type Orders = [(u64, u64)];

/// Checks a history of a register that holds nothing at first.
pub fn check(orders: &Orders, history: &[Operation]) -> Result<(), Violation> {
    check_malformed(history)?;
    check_one_winner(history)?;
    check_refused_stay_out(history)?;
    check_reads_fresh(orders, history)?;
    check_quorum(history)?;
    check_in_time(history)?;
    Search::new(history).run()
}

fn check_malformed(history: &[Operation]) -> Result<(), Violation> {
    let accepted =
        |op: &Operation| op.invocation == Invocation::PutMalformed && op.response == Response::Accepted;
    if history.iter().any(accepted) { Err(Violation::MalformedAccepted) } else { Ok(()) }
}

fn check_one_winner(history: &[Operation]) -> Result<(), Violation> {
    let mut winners = BTreeMap::new();
    for op in history.iter().filter(|op| op.response == Response::Accepted) {
        if let Invocation::Put { order, base, .. } = op.invocation
            && *winners.entry(base).or_insert(order) != order
        {
            return Err(Violation::TwoAcceptedOnOneBase { base });
        }
    }
    Ok(())
}

fn check_refused_stay_out(history: &[Operation]) -> Result<(), Violation> {
    let refused = refused_orders(history);
    let taken = |op: &Operation| match (op.invocation, op.response) {
        (Invocation::Put { order, .. }, Response::Accepted) | (Invocation::InForce { order }, _) => {
            Some(order)
        }
        (_, Response::Value(order)) => order,
        _ => None,
    };
    match history.iter().filter_map(taken).find(|order| refused.contains(order)) {
        Some(order) => Err(Violation::RefusedAndTaken { order }),
        None => Ok(()),
    }
}

fn refused_orders(history: &[Operation]) -> BTreeSet<OrderId> {
    let refused = history.iter().filter(|op| op.refused());
    refused
        .filter_map(|op| match op.invocation {
            Invocation::Put { order, .. } => Some(order),
            _ => None,
        })
        .collect()
}

fn check_reads_fresh(orders: &Orders, history: &[Operation]) -> Result<(), Violation> {
    let version_of = |order: OrderId| orders[order].1;
    let acknowledged = |before: Time| {
        let earlier = history.iter().filter(|op| op.response == Response::Accepted && op.responded < before);
        let versions = earlier.filter_map(|op| match op.invocation {
            Invocation::Put { version, .. } => Some(version),
            _ => None,
        });
        versions.max().unwrap_or(0)
    };
    for op in history {
        let Response::Value(value) = op.response else { continue };
        let (version, acknowledged) = (value.map_or(0, version_of), acknowledged(op.invoked));
        if version < acknowledged {
            return Err(Violation::StaleRead { version, acknowledged });
        }
    }
    Ok(())
}

fn check_quorum(history: &[Operation]) -> Result<(), Violation> {
    let claims = |op: &Operation| op.refused() || matches!(op.response, Response::Value(_));
    let judged = |op: &Operation| op.without_quorum && op.invocation != Invocation::PutMalformed;
    match history.iter().position(|op| judged(op) && claims(op)) {
        Some(operation) => Err(Violation::AnsweredWithoutQuorum { operation }),
        None => Ok(()),
    }
}

fn check_in_time(history: &[Operation]) -> Result<(), Violation> {
    let late = |op: &Operation| op.undisturbed && op.responded - op.invoked >= CALLER_TIMEOUT;
    match history.iter().position(late) {
        Some(operation) => Err(Violation::AnsweredLate { operation }),
        None => Ok(()),
    }
}

/// The register after some of the operations. As versions only rise and an order is taken once, the operations that were placed
/// decide it.
#[derive(Clone, Default)]
struct Register {
    version: u64,
    current: Option<OrderId>,
    accepted: BTreeSet<OrderId>,
}

impl Register {
    fn would_accept(&self, order: OrderId, base: u64, version: u64) -> bool {
        !self.accepted.contains(&order) && base == self.version && version > self.version
    }

    fn accept(&mut self, order: OrderId, version: u64) {
        (self.version, self.current) = (version, Some(order));
        self.accepted.insert(order);
    }

    /// Whether an operation that changes nothing has this response now.
    fn explains(&self, op: &Operation) -> bool {
        match (op.invocation, op.response) {
            (Invocation::Put { order, .. }, Response::Accepted) | (Invocation::InForce { order }, _) => {
                self.accepted.contains(&order)
            }
            (Invocation::Put { order, base, version }, Response::Conflict) => {
                !self.accepted.contains(&order) && (base != self.version || version <= self.version)
            }
            (Invocation::Put { order, version, .. }, Response::Invalid) => {
                !self.accepted.contains(&order) && version <= self.version
            }
            (Invocation::Get, Response::Value(value)) => value == self.current,
            (Invocation::PutMalformed, response) => response != Response::Accepted,
            _ => false,
        }
    }
}

/// A set of operations, by position.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Placed(Vec<u64>);

impl Placed {
    fn contains(&self, at: usize) -> bool {
        self.0[at / 64] >> (at % 64) & 1 == 1
    }

    fn insert(&mut self, at: usize) {
        self.0[at / 64] |= 1 << (at % 64);
    }
}

/// The search for an order of the operations that explains all responses.
struct Search<'a> {
    history: &'a [Operation],
    refused: BTreeSet<OrderId>,
    seen: HashSet<Placed>,
}

impl<'a> Search<'a> {
    fn new(history: &'a [Operation]) -> Self {
        Search { history, refused: refused_orders(history), seen: HashSet::new() }
    }

    fn run(mut self) -> Result<(), Violation> {
        let none = Placed(vec![0; self.history.len() / 64 + 1]);
        if self.place(none, Register::default()) { Ok(()) } else { Err(Violation::NotLinearizable) }
    }

    /// Whether the operations that are left can follow.
    fn place(&mut self, mut placed: Placed, register: Register) -> bool {
        self.place_unchanging(&mut placed, &register);
        let all = (0..self.history.len()).all(|at| placed.contains(at) || !self.history[at].known());
        if all {
            return true;
        }
        if !self.seen.insert(placed.clone()) {
            return false;
        }
        for at in self.next(&placed) {
            let Invocation::Put { order, base, version } = self.history[at].invocation else { continue };
            let may = !self.history[at].refused() && !self.refused.contains(&order);
            if !may || !register.would_accept(order, base, version) {
                continue;
            }
            let (mut placed, mut register) = (placed.clone(), register.clone());
            placed.insert(at);
            register.accept(order, version);
            if self.place(placed, register) {
                return true;
            }
        }
        false
    }

    /// Operations that nothing which is left precedes in real time.
    fn next(&self, placed: &Placed) -> Vec<usize> {
        let left: Vec<usize> = (0..self.history.len()).filter(|at| !placed.contains(*at)).collect();
        let known = left.iter().filter(|at| self.history[**at].known());
        let first = known.map(|at| self.history[*at].responded).min().unwrap_or(Time::MAX);
        left.into_iter().filter(|at| self.history[*at].invoked <= first).collect()
    }

    /// What changes nothing and is explained now may stand here: to place it later is never better.
    fn place_unchanging(&self, placed: &mut Placed, register: &Register) {
        loop {
            let next = self.next(placed);
            let explained = |at: &usize| self.history[*at].known() && register.explains(&self.history[*at]);
            let ready: Vec<usize> = next.into_iter().filter(explained).collect();
            if ready.is_empty() {
                return;
            }
            ready.into_iter().for_each(|at| placed.insert(at));
        }
    }
}
