//! Buffers of one size that are used again.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::BytesMut;

use super::codec::{MOST_BODY, MOST_HEAD};

/// Room for the largest message.
const SIZE: usize = MOST_HEAD + MOST_BODY;
/// Free buffers that are kept for later, as one part of so many of the memory.
const KEPT: usize = 16;

/// The free buffers of the process.
#[derive(Clone)]
pub struct Pool {
    free: Rc<RefCell<Vec<BytesMut>>>,
    most: usize,
}

impl Pool {
    pub fn within(memory: usize) -> Self {
        Pool { free: Rc::default(), most: memory / KEPT / SIZE }
    }

    /// How many buffers so much memory holds.
    pub fn buffers_in(memory: usize) -> usize {
        memory / SIZE
    }

    pub fn take(&self) -> BytesMut {
        self.free.borrow_mut().pop().unwrap_or_else(|| BytesMut::with_capacity(SIZE))
    }

    /// Takes a buffer back. One that is still read elsewhere, or is a part of one, is let go.
    pub fn put(&self, mut buffer: BytesMut) {
        buffer.clear();
        let mut free = self.free.borrow_mut();
        if free.len() < self.most && buffer.try_reclaim(SIZE) {
            free.push(buffer);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_buffer_comes_back_whole_or_not_at_all() {
        let pool = Pool::within(2 * KEPT * SIZE);
        let mut buffer = pool.take();
        buffer.extend_from_slice(b"head and body");
        let body = buffer.split_to(8).freeze();
        pool.put(buffer);
        assert_eq!(pool.free.borrow().len(), 0, "its first bytes are still read");
        let mut buffer = pool.take();
        buffer.extend_from_slice(&body);
        drop(buffer.split_to(8));
        pool.put(buffer);
        assert!(pool.take().capacity() >= SIZE);
        (0..9).for_each(|_| pool.put(BytesMut::with_capacity(SIZE)));
        assert_eq!(pool.free.borrow().len(), 2);
    }
}
