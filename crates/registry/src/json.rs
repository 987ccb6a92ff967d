//! JSON read into values, so that all findings of a text can be told with their places. Tokens are nanoserde's; its own skipping of
//! unknown fields panics or hangs on broken input and is not used.

use nanoserde::{DeJsonErr, DeJsonState, DeJsonTok};

use crate::Findings;

/// How deep values may nest, and how many there may be in one text.
const DEPTH: usize = 64;
const VALUES: usize = 1 << 18;

#[derive(Debug)]
pub enum Value {
    Null,
    Bool(bool),
    Whole(u64),
    Number(f64),
    String(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn read(text: &[u8]) -> Result<Self, Findings> {
        let fail = |what: String| Findings::of_document(format!("JSON expected: {what}"));
        let text = std::str::from_utf8(text).map_err(|e| fail(e.to_string()))?;
        // nanoserde takes comments, by recursion, and reads a zero byte as the end.
        if let Some(at) = foreign(text.as_bytes()) {
            return Err(fail(format!("unexpected character at byte {at}")));
        }
        let (mut state, mut chars) = (DeJsonState::default(), text.chars());
        state.next(&mut chars);
        let mut left = VALUES;
        let mut whole = || {
            state.next_tok(&mut chars)?;
            let value = value(&mut state, &mut chars, DEPTH, &mut left)?;
            match state.tok {
                DeJsonTok::Eof => Ok(value),
                _ => Err(state.err_token("the end")),
            }
        };
        whole().map_err(|e: DeJsonErr| fail(e.to_string()))
    }

    /// The field of an object; none where it is absent or null.
    pub fn field(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields
                .iter()
                .rev()
                .find(|(n, _)| n == name)
                .map(|(_, v)| v)
                .filter(|v| !matches!(v, Self::Null)),
            _ => None,
        }
    }
}

/// The first byte outside of strings that JSON doesn't know but nanoserde does.
fn foreign(text: &[u8]) -> Option<usize> {
    let (mut inside, mut escaped) = (false, false);
    for (at, byte) in text.iter().enumerate() {
        match byte {
            0 => return Some(at),
            _ if escaped => escaped = false,
            b'\\' if inside => escaped = true,
            b'"' => inside = !inside,
            b'/' if !inside => return Some(at),
            _ => {}
        }
    }
    None
}

fn value(
    state: &mut DeJsonState,
    chars: &mut std::str::Chars,
    depth: usize,
    left: &mut usize,
) -> Result<Value, DeJsonErr> {
    if depth == 0 || *left == 0 {
        return Err(state.err_range("too many values, or nested too deep"));
    }
    *left -= 1;
    let read = match state.tok {
        DeJsonTok::Null => Value::Null,
        DeJsonTok::Bool(b) => Value::Bool(b),
        DeJsonTok::U64(n) => Value::Whole(n),
        DeJsonTok::I64(n) => Value::Number(n as f64),
        DeJsonTok::F64(n) => Value::Number(n),
        DeJsonTok::Str => Value::String(state.as_string()?),
        DeJsonTok::BlockOpen => {
            state.next_tok(chars)?;
            let mut list = Vec::new();
            while state.tok != DeJsonTok::BlockClose {
                list.push(value(state, chars, depth - 1, left)?);
                state.eat_comma_block(chars)?;
            }
            Value::List(list)
        }
        DeJsonTok::CurlyOpen => {
            state.next_tok(chars)?;
            let mut fields = Vec::new();
            while state.tok != DeJsonTok::CurlyClose {
                let name = state.as_string()?;
                state.next_colon(chars)?;
                fields.push((name, value(state, chars, depth - 1, left)?));
                state.eat_comma_curly(chars)?;
            }
            Value::Object(fields)
        }
        _ => return Err(state.err_token("a value")),
    };
    state.next_tok(chars)?;
    Ok(read)
}

/// Reads fields of one object and notes what is wrong with them.
pub struct Reader<'a, 'f> {
    pub object: &'a Value,
    /// The object's place, without a closing slash.
    pub place: String,
    pub findings: &'f mut Findings,
}

impl<'a> Reader<'a, '_> {
    pub fn wrong(&mut self, field: &str, expected: &str) {
        self.findings.push(format!("{}/{field}", self.place), expected.to_owned());
    }

    pub fn text(&mut self, field: &str) -> Option<String> {
        match self.object.field(field) {
            None => None,
            Some(Value::String(text)) => Some(text.clone()),
            Some(_) => {
                self.wrong(field, "a string expected");
                None
            }
        }
    }

    /// A string that must be there.
    pub fn need(&mut self, field: &str) -> Option<String> {
        if self.object.field(field).is_none() {
            self.wrong(field, "a string expected, none is there");
        }
        self.text(field)
    }

    pub fn number(&mut self, field: &str) -> Option<f64> {
        match self.object.field(field) {
            None => None,
            Some(Value::Whole(n)) => Some(*n as f64),
            Some(Value::Number(n)) if n.is_finite() => Some(*n),
            Some(_) => {
                self.wrong(field, "a number expected");
                None
            }
        }
    }

    /// A number that is not negative, rounded.
    pub fn whole(&mut self, field: &str) -> Option<u64> {
        match self.object.field(field) {
            None => None,
            Some(Value::Whole(n)) => Some(*n),
            Some(Value::Number(n)) if *n >= 0.0 && n.is_finite() => Some(n.round() as u64),
            Some(_) => {
                self.wrong(field, "a number that is not negative expected");
                None
            }
        }
    }

    pub fn integer_u32(&mut self, field: &str) -> Option<u32> {
        let n = self.whole(field)?;
        let fits = u32::try_from(n).ok();
        if fits.is_none() {
            self.wrong(field, "a number below 2^32 expected");
        }
        fits
    }

    pub fn flag(&mut self, field: &str) -> Option<bool> {
        match self.object.field(field) {
            None => None,
            Some(Value::Bool(b)) => Some(*b),
            Some(_) => {
                self.wrong(field, "true or false expected");
                None
            }
        }
    }

    /// A list that must be there.
    pub fn need_list(&mut self, field: &str) -> &'a [Value] {
        if self.object.field(field).is_none() {
            self.wrong(field, "a list expected, none is there");
        }
        self.list(field).unwrap_or_default()
    }

    pub fn list(&mut self, field: &str) -> Option<&'a [Value]> {
        let object = self.object;
        match object.field(field) {
            None => None,
            Some(Value::List(list)) => Some(list),
            Some(_) => {
                self.wrong(field, "a list expected");
                None
            }
        }
    }
}
