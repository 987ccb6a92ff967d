//! A count of what is under way.

use std::cell::Cell;
use std::rc::Rc;

/// How many calls are being answered.
#[derive(Clone, Default)]
pub struct UnderWay(Rc<Cell<usize>>);

/// One of them, until it is dropped.
pub struct Held(Rc<Cell<usize>>);

impl UnderWay {
    pub fn hold(&self) -> Held {
        self.0.update(|count| count + 1);
        Held(self.0.clone())
    }

    pub fn is_empty(&self) -> bool {
        self.0.get() == 0
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.update(|count| count - 1);
    }
}
