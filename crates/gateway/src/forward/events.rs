//! Answers that are series of events: passed on event by event, and gone on with at another worker within one answer.

use bytes::{Bytes, BytesMut};
use rainlug_placement::End as Ended;
use rainlug_registry::Route;
use rainlug_transport::{Body, Piece};
use tokio::time::Instant;

use super::{Exchange, Passed, SILENT_TARGETS, Stop};
use crate::answers::{Answer, Framing, chunk, finish};
use crate::connections::Connection;
use crate::millis;
use crate::routing::Picked;
use crate::stream::Events;

/// A worker whose stream pauses is given up after so many times the pause that is aimed at and no sooner than so.
const SILENT_GAPS: u64 = 4;
const LEAST_GAP: u64 = 1500;

impl Exchange<'_> {
    /// Passes events on, each once it is whole.
    pub(super) async fn stream(
        &mut self,
        connection: &mut Connection,
        answer: Answer,
        picked: &Picked,
        route: &Route,
        until: Instant,
    ) -> Passed {
        let gap = LEAST_GAP.max(route.gap_target_ms.saturating_mul(SILENT_GAPS));
        let gap =
            millis(if self.began { gap } else { gap.max(route.target_ms.saturating_mul(SILENT_TARGETS)) });
        let resumes = route.is_idempotent();
        let ends_with_connection = answer.framing == Body::UntilEnd;
        // The head goes with the first event: until then another worker's answer may take its place.
        let mut head = (!self.began).then_some(answer.lines);
        if let Some(lines) = &mut head {
            finish(lines, Framing::Chunked, self.then());
            if self.last.is_none() {
                self.last =
                    self.request.last_event.as_ref().and_then(|id| id.parse().ok()).filter(|_| resumes);
            }
        } else {
            self.gateway.metrics.resumed.up();
        }
        let joined = head.is_none();
        let (mut events, mut started) = (Events::default(), false);
        let mut quiet = if resumes { until.min(Instant::now() + gap) } else { until };
        loop {
            let piece = match self.wait(connection.link.next(), quiet).await {
                Ok(Ok(Piece::Body(piece))) => piece,
                Ok(Ok(Piece::Last)) => {
                    let rest = events.rest();
                    // An event that is not whole can be passed on only as what the worker's answer is said to end with.
                    if (joined || ends_with_connection) && !rest.is_empty() {
                        return Passed::Broken(Ended::Failed);
                    }
                    return if self.end_of_stream(head, &rest, until).await {
                        Passed::Whole
                    } else {
                        Passed::Refused
                    };
                }
                Ok(_) => return Passed::Broken(Ended::Failed),
                Err(Stop::Over) if Instant::now() < until => {
                    if let Some(other) = self.other(picked, route) {
                        return Passed::Silent(other);
                    }
                    quiet = until;
                    continue;
                }
                Err(stop) => return Passed::Stopped(stop),
            };
            events.push(piece);
            let (mut first, mut more) = (Bytes::new(), BytesMut::new());
            let broken = loop {
                let event = match events.take() {
                    Ok(Some(event)) => event,
                    Ok(None) => break false,
                    Err(_) => break true,
                };
                match event.id {
                    Some(id) if self.last.is_some_and(|last| id <= last) => {
                        if !started && resumes {
                            continue;
                        }
                        // Ids rise within a run.
                        break true;
                    }
                    Some(id) => self.last = Some(id),
                    None if joined && !started => continue,
                    None => {}
                }
                if std::mem::replace(&mut started, true) {
                    picked.ticket.progress();
                } else {
                    picked.ticket.started();
                }
                if first.is_empty() {
                    first = event.bytes;
                } else {
                    if more.is_empty() {
                        more.extend_from_slice(&first);
                    }
                    more.extend_from_slice(&event.bytes);
                }
            };
            let out: &[u8] = if more.is_empty() { &first } else { &more };
            if !out.is_empty() {
                let lines = head.take().unwrap_or_default();
                self.began = true;
                if !self.tell(&[&lines, &chunk(out.len()), out, b"\r\n"], until).await {
                    return Passed::Refused;
                }
                quiet = if resumes { until.min(Instant::now() + gap) } else { until };
            }
            if broken {
                return Passed::Broken(Ended::Failed);
            }
        }
    }

    pub(super) async fn end_of_stream(&mut self, head: Option<Vec<u8>>, rest: &[u8], until: Instant) -> bool {
        let lines = head.unwrap_or_default();
        self.began = true;
        if rest.is_empty() {
            return self.tell(&[&lines, b"0\r\n\r\n"], until).await;
        }
        self.tell(&[&lines, &chunk(rest.len()), rest, b"\r\n0\r\n\r\n"], until).await
    }
}
