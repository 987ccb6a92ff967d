//! JSON parsed into values, so that all findings in a document can be reported with their paths. Tokens are nanoserde's; its own
//! derived parsers are not used: skipping unknown fields, they panic or hang on malformed input.

use std::str::Chars;

use nanoserde::{DeJsonErr, DeJsonState, DeJsonTok};

use crate::Findings;

/// How deep values may nest, and how many there may be in one document.
const MAX_DEPTH: usize = 64;
const MAX_VALUES: usize = 1 << 18;

/// A JSON value.
#[derive(Debug)]
pub enum Value {
    /// Nothing.
    Null,
    /// True or false.
    Bool(bool),
    /// A number written without sign, fraction and exponent.
    Integer(u64),
    /// Any other number.
    Number(f64),
    /// A text.
    String(String),
    /// Values in their order.
    List(Vec<Value>),
    /// Fields in their order, with their names.
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Parses a document.
    ///
    /// # Errors
    /// A single finding about the document itself, where it is not JSON, or nests too deep or has too many values.
    pub fn parse(document: &[u8]) -> Result<Self, Findings> {
        let fail = |reason: String| Findings::of_document(format!("JSON expected: {reason}"));
        let text = std::str::from_utf8(document).map_err(|error| fail(error.to_string()))?;
        if let Some(at) = unsupported_byte(text.as_bytes()) {
            return Err(fail(format!("unexpected character at byte {at}")));
        }
        Parser::new(text).document().map_err(|error| fail(error.to_string()))
    }

    /// Parses a document that has to be an object.
    ///
    /// # Errors
    /// As [`Value::parse`], or where it is something else.
    pub fn parse_object(document: &[u8]) -> Result<Self, Findings> {
        match Self::parse(document)? {
            object @ Self::Object(_) => Ok(object),
            _ => Err(Findings::of_document("an object expected".to_owned())),
        }
    }

    /// A field of an object, the last one of its name; none where it is absent or null.
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

/// Whether a document is JSON that can be given to nanoserde's derived parsers, which do not return on some other input. Documents
/// that nest deeper than 64 levels or have more than 2^18 values are rejected too.
pub fn is_json(document: &[u8]) -> bool {
    Value::parse(document).is_ok()
}

/// The first byte that is not JSON and that nanoserde would take: a comment, which it skips by recursion, or a zero byte, which it
/// takes for the end.
fn unsupported_byte(text: &[u8]) -> Option<usize> {
    let (mut is_in_string, mut is_escaped) = (false, false);
    for (at, byte) in text.iter().enumerate() {
        match byte {
            0 => return Some(at),
            _ if is_escaped => is_escaped = false,
            b'\\' if is_in_string => is_escaped = true,
            b'"' => is_in_string = !is_in_string,
            b'/' if !is_in_string => return Some(at),
            _ => {}
        }
    }
    None
}

/// A recursive-descent parser over nanoserde's tokens.
struct Parser<'a> {
    state: DeJsonState,
    chars: Chars<'a>,
    /// How many more values the document may have.
    values_left: usize,
}

impl<'a> Parser<'a> {
    fn new(text: &'a str) -> Self {
        let (mut state, mut chars) = (DeJsonState::default(), text.chars());
        state.next(&mut chars);
        Parser { state, chars, values_left: MAX_VALUES }
    }

    /// The document's value, behind which nothing may stand.
    fn document(&mut self) -> Result<Value, DeJsonErr> {
        self.state.next_tok(&mut self.chars)?;
        let value = self.value(MAX_DEPTH)?;
        match self.state.tok {
            DeJsonTok::Eof => Ok(value),
            _ => Err(self.state.err_token("the end")),
        }
    }

    /// The value that begins with the current token, and the token behind it. `depth` is how deep it may nest.
    fn value(&mut self, depth: usize) -> Result<Value, DeJsonErr> {
        if depth == 0 || self.values_left == 0 {
            return Err(self.state.err_range("too many values, or nested too deep"));
        }
        self.values_left -= 1;
        let value = match self.state.tok {
            DeJsonTok::Null => Value::Null,
            DeJsonTok::Bool(b) => Value::Bool(b),
            DeJsonTok::U64(n) => Value::Integer(n),
            DeJsonTok::I64(n) => Value::Number(n as f64),
            DeJsonTok::F64(n) => Value::Number(n),
            DeJsonTok::Str => Value::String(self.state.as_string()?),
            DeJsonTok::BlockOpen => self.list(depth - 1)?,
            DeJsonTok::CurlyOpen => self.object(depth - 1)?,
            _ => return Err(self.state.err_token("a value")),
        };
        self.state.next_tok(&mut self.chars)?;
        Ok(value)
    }

    fn list(&mut self, depth: usize) -> Result<Value, DeJsonErr> {
        self.state.next_tok(&mut self.chars)?;
        let mut list = Vec::new();
        while self.state.tok != DeJsonTok::BlockClose {
            list.push(self.value(depth)?);
            self.state.eat_comma_block(&mut self.chars)?;
        }
        Ok(Value::List(list))
    }

    fn object(&mut self, depth: usize) -> Result<Value, DeJsonErr> {
        self.state.next_tok(&mut self.chars)?;
        let mut fields = Vec::new();
        while self.state.tok != DeJsonTok::CurlyClose {
            let name = self.state.as_string()?;
            self.state.next_colon(&mut self.chars)?;
            fields.push((name, self.value(depth)?));
            self.state.eat_comma_curly(&mut self.chars)?;
        }
        Ok(Value::Object(fields))
    }
}

/// Reads the fields of one object, and notes what is wrong with them. A field that is wrong reads as if it were absent.
pub struct ObjectReader<'a, 'f> {
    object: &'a Value,
    /// The object's path, without a closing slash.
    path: String,
    findings: &'f mut Findings,
}

impl<'a, 'f> ObjectReader<'a, 'f> {
    /// A reader of the document's own object.
    pub fn of_document(object: &'a Value, findings: &'f mut Findings) -> Self {
        ObjectReader { object, path: String::new(), findings }
    }

    /// Reads an object at a path below this one, which is relative to it and has no leading slash.
    pub fn nested<'n>(&mut self, path: &str, object: &'n Value) -> ObjectReader<'n, '_> {
        ObjectReader { object, path: format!("{}/{path}", self.path), findings: &mut *self.findings }
    }

    /// Notes that something else was expected in a field.
    pub fn add_finding(&mut self, field: &str, expected: impl Into<String>) {
        self.findings.push(format!("{}/{field}", self.path), expected.into());
    }

    /// Whether a field is there, whatever it holds but null.
    pub fn has(&self, field: &str) -> bool {
        self.object.field(field).is_some()
    }

    /// The object in a field, whatever it holds but null.
    pub fn value(&self, field: &str) -> Option<&'a Value> {
        let object = self.object;
        object.field(field)
    }

    /// A string.
    pub fn string(&mut self, field: &str) -> Option<String> {
        match self.object.field(field)? {
            Value::String(text) => Some(text.clone()),
            _ => self.reject(field, "a string expected"),
        }
    }

    /// A string that has to be there.
    pub fn required_string(&mut self, field: &str) -> Option<String> {
        self.require(field, "a string expected, none is there");
        self.string(field)
    }

    /// A finite number.
    pub fn number(&mut self, field: &str) -> Option<f64> {
        match self.object.field(field)? {
            Value::Integer(n) => Some(*n as f64),
            Value::Number(n) if n.is_finite() => Some(*n),
            _ => self.reject(field, "a number expected"),
        }
    }

    /// A number that is not negative, rounded.
    pub fn integer(&mut self, field: &str) -> Option<u64> {
        match self.object.field(field)? {
            Value::Integer(n) => Some(*n),
            Value::Number(n) if *n >= 0.0 && n.is_finite() => Some(n.round() as u64),
            _ => self.reject(field, "a number that is not negative expected"),
        }
    }

    /// A number that is not negative, rounded, below 2^32.
    pub fn integer_u32(&mut self, field: &str) -> Option<u32> {
        let n = self.integer(field)?;
        u32::try_from(n).ok().or_else(|| self.reject(field, "a number below 2^32 expected"))
    }

    /// True or false.
    pub fn bool(&mut self, field: &str) -> Option<bool> {
        match self.object.field(field)? {
            Value::Bool(b) => Some(*b),
            _ => self.reject(field, "true or false expected"),
        }
    }

    /// A list.
    pub fn list(&mut self, field: &str) -> Option<&'a [Value]> {
        let object = self.object;
        match object.field(field)? {
            Value::List(list) => Some(list),
            _ => self.reject(field, "a list expected"),
        }
    }

    /// A list that has to be there; an empty one where it is not.
    pub fn required_list(&mut self, field: &str) -> &'a [Value] {
        self.require(field, "a list expected, none is there");
        self.list(field).unwrap_or_default()
    }

    fn require(&mut self, field: &str, expected: &str) {
        if !self.has(field) {
            self.add_finding(field, expected);
        }
    }

    fn reject<T>(&mut self, field: &str, expected: &str) -> Option<T> {
        self.add_finding(field, expected);
        None
    }
}
