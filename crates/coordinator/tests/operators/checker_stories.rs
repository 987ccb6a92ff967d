//! The checker itself: a register that keeps its promises passes, and each broken one is found out.

use rainlug::{SECOND, Time};

use crate::history::{Invocation, Operation, Response, Violation, check};

/// What a fake register gets wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Gets are served from a copy that a cut-off machine has.
    ReadsStaleCopy,
    /// A cut-off machine compares with its copy and refuses.
    RefusesWithoutQuorum,
    /// The base is not compared.
    IgnoresBase,
    /// Only the newest order is known when it comes again.
    ForgetsAccepted,
    /// Versions need not rise.
    IgnoresVersion,
    /// A refused order is kept and takes effect later.
    TakesRefused,
    /// A cut-off machine is silent until the caller has gone.
    AnswersLate,
}

/// A register with a copy at a machine that may be cut off.
struct FakeRegister {
    fault: Fault,
    now: Time,
    orders: Vec<(u64, u64)>,
    current: Option<usize>,
    copy: Option<usize>,
    accepted: Vec<usize>,
    cut_off: bool,
    history: Vec<Operation>,
}

impl FakeRegister {
    fn new(fault: Fault) -> Self {
        FakeRegister {
            fault,
            now: SECOND,
            orders: Vec::new(),
            current: None,
            copy: None,
            accepted: Vec::new(),
            cut_off: false,
            history: Vec::new(),
        }
    }

    fn order(&mut self, base: u64, version: u64) -> usize {
        self.orders.push((base, version));
        self.orders.len() - 1
    }

    fn version(&self, of: Option<usize>) -> u64 {
        of.map_or(0, |order| self.orders[order].1)
    }

    fn judge(&self, order: usize) -> Response {
        let (base, version) = self.orders[order];
        let current = self.version(self.current);
        let known = match self.fault {
            Fault::ForgetsAccepted => self.current == Some(order),
            _ => self.accepted.contains(&order),
        };
        match () {
            () if known => Response::Accepted,
            () if base != current && self.fault != Fault::IgnoresBase => Response::Conflict,
            () if version <= current && self.fault != Fault::IgnoresVersion => Response::Invalid,
            () => Response::Accepted,
        }
    }

    fn put(&mut self, order: usize, at_cut_off: bool) -> Response {
        let (base, version) = self.orders[order];
        let response = match (at_cut_off && self.cut_off, self.fault) {
            (true, Fault::RefusesWithoutQuorum) if base != self.version(self.copy) => Response::Conflict,
            (true, _) => Response::Unknown,
            (false, _) => self.judge(order),
        };
        let kept = self.fault == Fault::TakesRefused && response == Response::Conflict;
        if (response == Response::Accepted || kept) && !self.accepted.contains(&order) {
            self.accepted.push(order);
            self.current = Some(order);
            self.copy = if self.cut_off { self.copy } else { self.current };
        }
        self.record(Invocation::Put { order, base, version }, response, at_cut_off);
        response
    }

    fn get(&mut self, at_cut_off: bool) -> Response {
        let response = match (at_cut_off && self.cut_off, self.fault) {
            (true, Fault::ReadsStaleCopy) => Response::Value(self.copy),
            (true, _) => Response::Unknown,
            (false, _) => Response::Value(self.current),
        };
        self.record(Invocation::Get, response, at_cut_off);
        response
    }

    fn record(&mut self, invocation: Invocation, response: Response, at_cut_off: bool) {
        let without_quorum = at_cut_off && self.cut_off;
        let late = without_quorum && self.fault == Fault::AnswersLate;
        let (invoked, answered) = (self.now, self.now + if late { SECOND } else { SECOND / 10 });
        self.now = answered + 1;
        self.history.push(Operation {
            invocation,
            response,
            invoked,
            responded: answered,
            without_quorum,
            undisturbed: true,
        });
    }

    fn check(&self) -> Result<(), Violation> {
        check(&self.orders, &self.history)
    }
}

/// Two operators, one of them at a machine that is cut off for a while.
fn course(fault: Fault) -> Result<(), Violation> {
    let mut register = FakeRegister::new(fault);
    let first = register.order(0, 5);
    register.put(first, false);
    register.cut_off = true;
    let (one, other) = (register.order(5, 7), register.order(5, 7));
    register.put(one, false);
    register.put(other, true);
    register.get(true);
    register.put(one, true);
    register.cut_off = false;
    register.put(other, false);
    let next = register.order(7, 9);
    register.put(next, false);
    register.put(one, false);
    let lower = register.order(9, 8);
    register.put(lower, false);
    register.get(false);
    register.check()
}

#[test]
fn given_a_register_that_keeps_its_promises_when_it_is_checked_then_nothing_is_found() {
    assert_eq!(course(Fault::None), Ok(()));
}

#[test]
fn given_reads_from_a_stale_copy_when_checked_then_they_are_found() {
    assert!(matches!(
        course(Fault::ReadsStaleCopy),
        Err(Violation::StaleRead { version: 5, acknowledged: 7 })
    ));
}

#[test]
fn given_refusals_without_a_quorum_when_checked_then_they_are_found() {
    // The re-sent order builds on what the copy holds; one that does not is refused there.
    let mut register = FakeRegister::new(Fault::RefusesWithoutQuorum);
    let (first, second, third) = (register.order(0, 5), register.order(5, 7), register.order(7, 9));
    register.put(first, false);
    register.cut_off = true;
    register.put(second, false);
    register.put(third, true);
    assert!(matches!(register.check(), Err(Violation::AnsweredWithoutQuorum { operation: 2 })));
}

#[test]
fn given_a_base_that_is_not_compared_when_checked_then_the_second_winner_is_found() {
    let mut register = FakeRegister::new(Fault::IgnoresBase);
    let (first, one, other) = (register.order(0, 5), register.order(5, 7), register.order(5, 8));
    [first, one, other].into_iter().for_each(|order| {
        register.put(order, false);
    });
    assert_eq!(register.check(), Err(Violation::TwoAcceptedOnOneBase { base: 5 }));
}

#[test]
fn given_a_register_that_forgets_what_it_accepted_when_checked_then_the_refusal_is_found() {
    assert!(matches!(course(Fault::ForgetsAccepted), Err(Violation::RefusedAndTaken { .. })));
}

#[test]
fn given_versions_that_fall_when_checked_then_no_order_explains_it() {
    let mut register = FakeRegister::new(Fault::IgnoresVersion);
    let (first, lower) = (register.order(0, 5), register.order(5, 4));
    register.put(first, false);
    register.put(lower, false);
    assert_eq!(register.check(), Err(Violation::NotLinearizable));
}

#[test]
fn given_a_refused_order_that_takes_effect_when_checked_then_it_is_found() {
    let mut register = FakeRegister::new(Fault::TakesRefused);
    let (first, refused) = (register.order(0, 5), register.order(4, 7));
    register.put(first, false);
    register.put(refused, false);
    register.get(false);
    assert_eq!(register.check(), Err(Violation::RefusedAndTaken { order: refused }));
}

#[test]
fn given_a_machine_that_is_unresponsive_when_checked_then_the_late_answer_is_found() {
    assert!(matches!(course(Fault::AnswersLate), Err(Violation::AnsweredLate { .. })));
}

#[test]
fn given_a_put_without_a_clear_answer_when_it_is_read_later_then_it_may_have_taken_effect_late_or_never() {
    let put = |order, base, version, response, invoked| Operation {
        invocation: Invocation::Put { order, base, version },
        response,
        invoked,
        responded: if response == Response::Unknown { Time::MAX } else { invoked + 1 },
        without_quorum: false,
        undisturbed: false,
    };
    let get = |value, invoked| Operation {
        invocation: Invocation::Get,
        response: Response::Value(Some(value)),
        ..put(0, 0, 0, Response::Accepted, invoked)
    };
    let orders = [(0, 5), (5, 7), (5, 8)];
    let (first, lost) = (put(0, 0, 5, Response::Accepted, 1), put(1, 5, 7, Response::Unknown, 3));
    assert_eq!(check(&orders, &[first, lost, get(0, 10), get(1, 20)]), Ok(()), "late");
    assert_eq!(check(&orders, &[first, lost, get(0, 10)]), Ok(()), "never");
    let other = put(2, 5, 8, Response::Accepted, 30);
    assert_eq!(check(&orders, &[first, lost, get(1, 20), other]), Err(Violation::NotLinearizable));
    assert_eq!(check(&orders, &[first, lost, get(1, 20), get(0, 30)]), Err(Violation::NotLinearizable));
}
