//! Buffers of one size that are used again.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::BytesMut;

/// How large messages may be, and the buffers that they are read into, in bytes. A buffer grows where a message needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// The largest head of a message.
    pub head: usize,
    /// The largest body of a message that comes whole.
    pub body: usize,
    /// A buffer of the pool.
    pub buffer: usize,
}

/// Free buffers that are kept for later, as one part of so many of the memory.
const KEPT: usize = 16;
/// A buffer that has grown to more than so many of its first size is not kept.
const LARGE: usize = 4;

/// The free buffers of the process.
#[derive(Clone)]
pub struct Pool {
    free: Rc<RefCell<Vec<BytesMut>>>,
    most: usize,
    sizes: Sizes,
}

impl Pool {
    pub fn within(memory: usize, sizes: Sizes) -> Self {
        Pool { free: Rc::default(), most: memory / KEPT / sizes.buffer.max(1), sizes }
    }

    /// How many buffers so much memory holds.
    pub fn buffers_in(memory: usize, sizes: Sizes) -> usize {
        memory / sizes.buffer.max(1)
    }

    pub fn sizes(&self) -> Sizes {
        self.sizes
    }

    pub fn take(&self) -> BytesMut {
        self.free.borrow_mut().pop().unwrap_or_else(|| BytesMut::with_capacity(self.sizes.buffer))
    }

    /// Takes a buffer back. One that is still read elsewhere, is a part of one or has grown large is let go.
    pub fn put(&self, mut buffer: BytesMut) {
        buffer.clear();
        let mut free = self.free.borrow_mut();
        let size = self.sizes.buffer;
        if free.len() < self.most && buffer.try_reclaim(size) && buffer.capacity() <= LARGE * size {
            free.push(buffer);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SIZE: usize = 72 << 10;
    const SIZES: Sizes = Sizes { head: 8 << 10, body: 64 << 10, buffer: SIZE };

    #[test]
    fn a_buffer_comes_back_whole_or_not_at_all() {
        let pool = Pool::within(2 * KEPT * SIZE, SIZES);
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
