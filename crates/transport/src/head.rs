//! Heads of HTTP/1.1 messages, read by httparse.

use httparse::{EMPTY_HEADER, Header, Request, Response, Status};

use crate::{Body, End};

/// More fields than this in one head are not read.
const MOST_FIELDS: usize = 64;

/// The fields of one head.
pub struct Fields<'a> {
    all: &'a [Header<'a>],
    /// Of HTTP/1.0.
    old: bool,
}

impl<'a> Fields<'a> {
    fn all(&self, name: &str) -> impl Iterator<Item = Option<&'a str>> {
        let named = self.all.iter().filter(move |f| f.name.eq_ignore_ascii_case(name));
        named.map(|f| str::from_utf8(f.value).ok().map(str::trim))
    }

    /// Names and values as they came.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.all.iter().map(|f| (f.name, f.value))
    }

    /// How often a field stands there.
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    /// Whether the connection may carry another message after this one, as far as its sender says.
    pub fn keeps(&self) -> bool {
        !self.says("Connection", "close") && (!self.old || self.says("Connection", "keep-alive"))
    }

    /// Whether it is a message of HTTP/1.0, whose sender does not know chunks.
    pub fn old(&self) -> bool {
        self.old
    }

    /// A field's value; nothing where there is none, or it is no text.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.all(name).next()?
    }

    /// Whether a field that is a list of words holds this one.
    pub fn says(&self, name: &str, word: &str) -> bool {
        let holds = |v: &str| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word));
        self.all(name).any(|v| v.is_some_and(holds))
    }

    /// How the body is framed; nothing where no field says so.
    ///
    /// # Errors
    /// `Malformed` where that is not clear, `TooLarge` where a length is no number that there can be.
    pub fn body(&self) -> Result<Option<Body>, End> {
        let mut coded = self.all("Transfer-Encoding");
        let mut lengths = self.all("Content-Length");
        match (coded.next(), lengths.next()) {
            (None, None) => Ok(None),
            (Some(Some(coding)), None)
                if coded.next().is_none() && coding.eq_ignore_ascii_case("chunked") =>
            {
                Ok(Some(Body::Chunked))
            }
            (None, Some(Some(length))) if lengths.all(|l| l == Some(length)) => {
                let plain = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
                let length = plain.then_some(length).ok_or(End::Malformed)?;
                // More digits than a number holds are more bytes than fit.
                length.parse().map(|n| Some(Body::Length(n))).map_err(|_| End::TooLarge)
            }
            _ => Err(End::Malformed),
        }
    }
}

/// Reads a request's head: `read` is handed its method, its path with query, and its fields.
pub fn request<T>(head: &[u8], read: impl FnOnce(&str, &str, &Fields) -> T) -> Result<T, End> {
    let mut fields = [EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = Request::new(&mut fields);
    let done = parsed.parse(head).is_ok_and(|s| s == Status::Complete(head.len()));
    let (Some(method), Some(path), true) = (parsed.method, parsed.path, done) else {
        return Err(End::Malformed);
    };
    Ok(read(method, path, &Fields { all: parsed.headers, old: parsed.version != Some(1) }))
}

/// Reads an answer's head: `read` is handed its status and its fields.
pub fn answer<T>(head: &[u8], read: impl FnOnce(u16, &Fields) -> T) -> Result<T, End> {
    let mut fields = [EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = Response::new(&mut fields);
    let done = parsed.parse(head).is_ok_and(|s| s == Status::Complete(head.len()));
    let (Some(status), true) = (parsed.code, done) else { return Err(End::Malformed) };
    Ok(read(status, &Fields { all: parsed.headers, old: parsed.version != Some(1) }))
}

/// How the body after a request's head is framed.
pub fn request_body(head: &[u8]) -> Result<Body, End> {
    Ok(request(head, |_, _, fields| fields.body())??.unwrap_or(Body::Length(0)))
}

/// How the body after an answer's head is framed.
pub fn answer_body(head: &[u8]) -> Result<Body, End> {
    answer(head, |status, fields| match status {
        100..=199 | 204 | 304 => Ok(Body::Length(0)),
        _ => Ok(fields.body()?.unwrap_or(Body::UntilEnd)),
    })?
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bodies_are_framed_by_one_clear_word_or_not_at_all() {
        let of = |fields: &str| request_body(format!("POST /a HTTP/1.1\r\n{fields}\r\n").as_bytes());
        assert_eq!(of(""), Ok(Body::Length(0)));
        assert_eq!(of("content-length: 12\r\n"), Ok(Body::Length(12)));
        assert_eq!(of("Content-Length: 12\r\nContent-Length: 12\r\n"), Ok(Body::Length(12)));
        assert_eq!(of("Transfer-Encoding: chunked\r\n"), Ok(Body::Chunked));
        for bad in [
            "Content-Length: 12\r\nContent-Length: 13\r\n",
            "Content-Length: +12\r\n",
            "Content-Length: \r\n",
            "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
            "no field\r\n",
        ] {
            assert_eq!(of(bad), Err(End::Malformed), "{bad}");
        }
        assert_eq!(of("Content-Length: 99999999999999999999\r\n"), Err(End::TooLarge));
        assert_eq!(answer_body(b"HTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n"), Ok(Body::Length(0)));
        assert_eq!(answer_body(b"HTTP/1.1 200 OK\r\n\r\n"), Ok(Body::UntilEnd));
    }
}
