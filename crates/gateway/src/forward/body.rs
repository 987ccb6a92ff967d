//! Bodies of answers that are no series of events.

use bytes::{Bytes, BytesMut};
use rainlug_placement::End as Ended;
use rainlug_transport::{Body, Piece};
use tokio::time::Instant;

use super::{Exchange, Passed, Stop};
use crate::answers::{Answer, Framing, chunk, finish};
use crate::connections::Connection;

/// Answers up to this size are had whole before the client is sent anything, in bytes.
pub(super) const WHOLE: usize = 64 << 10;

impl Exchange<'_> {
    /// The body of an answer as far as `WHOLE`, and whether that is all of it; nothing where it broke.
    pub(super) async fn whole(
        &mut self,
        connection: &mut Connection,
        answer: &Answer,
        until: Instant,
    ) -> Result<Option<(Bytes, bool)>, Stop> {
        if matches!(answer.framing, Body::Length(n) if n > WHOLE) && self.request.method != "HEAD" {
            return Ok(Some((Bytes::new(), false)));
        }
        let (mut first, mut joined) = (Bytes::new(), BytesMut::new());
        loop {
            match self.wait(connection.link.next(), until).await? {
                Ok(Piece::Body(piece)) if first.is_empty() => first = piece,
                Ok(Piece::Body(piece)) => {
                    if joined.is_empty() {
                        joined.reserve(match answer.framing {
                            Body::Length(n) => n,
                            _ => 2 * (first.len() + piece.len()),
                        });
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&piece);
                    if joined.len() > WHOLE {
                        return Ok(Some((joined.freeze(), false)));
                    }
                }
                Ok(Piece::Last) => {
                    return Ok(Some((if joined.is_empty() { first } else { joined.freeze() }, true)));
                }
                Ok(Piece::Head(_)) | Err(_) => return Ok(None),
            }
        }
    }

    /// Passes an answer on that is no series of events.
    pub(super) async fn pass(
        &mut self,
        connection: &mut Connection,
        answer: Answer,
        until: Instant,
    ) -> Passed {
        let (begin, all) = match self.whole(connection, &answer, until).await {
            Ok(Some(whole)) => whole,
            Ok(None) => return Passed::Broken(Ended::Failed),
            Err(stop) => return Passed::Stopped(stop),
        };
        let bodiless = self.request.method == "HEAD" || matches!(answer.status, 204 | 304);
        let framing = match answer.framing {
            _ if matches!(answer.status, 204 | 304) => Framing::Nothing,
            Body::Length(n) => Framing::Length(n),
            Body::Chunked | Body::UntilEnd if bodiless => Framing::Nothing,
            Body::Chunked | Body::UntilEnd if all => Framing::Length(begin.len()),
            Body::Chunked | Body::UntilEnd => Framing::Chunked,
        };
        let mut head = answer.lines;
        finish(&mut head, framing, self.then());
        self.began = true;
        if all {
            return if self.tell(&[&head, &begin], until).await { Passed::Whole } else { Passed::Refused };
        }
        let chunked = framing == Framing::Chunked;
        let mut told = if chunked && !begin.is_empty() {
            self.tell(&[&head, &chunk(begin.len()), &begin, b"\r\n"], until).await
        } else {
            self.tell(&[&head, &begin], until).await
        };
        drop(begin);
        while told {
            told = match self.wait(connection.link.next(), until).await {
                Ok(Ok(Piece::Body(piece))) if chunked => {
                    self.tell(&[&chunk(piece.len()), &piece, b"\r\n"], until).await
                }
                Ok(Ok(Piece::Body(piece))) => self.tell(&[&piece], until).await,
                Ok(Ok(Piece::Last)) => {
                    let ended = !chunked || self.tell(&[b"0\r\n\r\n"], until).await;
                    return if ended { Passed::Whole } else { Passed::Refused };
                }
                Ok(_) => return Passed::Broken(Ended::Failed),
                Err(stop) => return Passed::Stopped(stop),
            };
        }
        Passed::Refused
    }
}
