//! A message on its way to the peer: what of it is left to be written.

use std::collections::VecDeque;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use tokio::io::AsyncWrite;

use super::end::End;

/// Parts that one call hands to the system.
const MOST_PARTS: usize = 8;

/// The parts of a message that the peer has not taken yet.
#[derive(Default)]
pub(crate) struct Outgoing {
    parts: VecDeque<Bytes>,
    broken: bool,
}

impl Outgoing {
    /// Adds a part behind the others.
    pub fn push(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.parts.push_back(part);
        }
    }

    /// Bytes that have not been handed over.
    pub fn left(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    /// Whether there is something to be written, and a peer that takes it.
    pub fn pending(&self) -> bool {
        !self.parts.is_empty() && !self.broken
    }

    /// Whether all of it was handed over.
    pub fn done(&self) -> bool {
        self.parts.is_empty()
    }

    /// Hands over as much as the system takes at once; how many bytes that was.
    ///
    /// # Errors
    /// `Unwritten` where the connection broke before the last byte.
    pub fn poll_write<W: AsyncWrite + Unpin>(
        &mut self,
        to: &mut W,
        context: &mut Context<'_>,
    ) -> Poll<Result<usize, End>> {
        if self.broken {
            return Poll::Ready(Err(End::Unwritten));
        }
        let mut slices = [IoSlice::new(&[]); MOST_PARTS];
        for (slice, part) in slices.iter_mut().zip(&self.parts) {
            *slice = IoSlice::new(part);
        }
        let count = self.parts.len().min(MOST_PARTS);
        let slices = slices.get(..count).unwrap_or_default();
        match ready!(Pin::new(to).poll_write_vectored(context, slices)) {
            Ok(written @ 1..) => {
                self.advance(written);
                Poll::Ready(Ok(written))
            }
            _ => {
                self.broken = true;
                Poll::Ready(Err(End::Unwritten))
            }
        }
    }

    fn advance(&mut self, written: usize) {
        let mut left = written;
        while let Some(part) = self.parts.front_mut() {
            let step = left.min(part.len());
            part.advance(step);
            left -= step;
            if !part.is_empty() {
                return;
            }
            self.parts.pop_front();
        }
    }
}
