//! Every key of a JSON text in turn: without it, and with a value of another type there.

use serde_json::{Value, json};

/// All places in a value (RFC 6901), those of inner values after their outer one's; not the whole value's own.
pub fn places(value: &Value) -> Vec<String> {
    let inner: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(name, field)| (name.clone(), field)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(n, one)| (n.to_string(), one)).collect(),
        _ => Vec::new(),
    };
    let below = |(name, one): (String, &Value)| {
        let deeper = places(one).into_iter().map(|rest| format!("/{name}{rest}")).collect::<Vec<_>>();
        std::iter::once(format!("/{name}")).chain(deeper).collect::<Vec<_>>()
    };
    inner.into_iter().flat_map(below).collect()
}

/// The value without what is at a place.
pub fn without(value: &Value, place: &str) -> Value {
    let mut changed = value.clone();
    let (outer, name) = place.rsplit_once('/').unwrap();
    match changed.pointer_mut(outer).unwrap() {
        Value::Object(fields) => drop(fields.remove(name)),
        Value::Array(list) => drop(list.remove(name.parse().unwrap())),
        _ => panic!("{place}: nothing is in {outer}"),
    }
    changed
}

/// The value with another type at a place: a number in place of an object or a list, an object in place of anything else.
pub fn with_other_type(value: &Value, place: &str) -> Value {
    let mut changed = value.clone();
    let found = changed.pointer_mut(place).unwrap();
    *found = if found.is_object() || found.is_array() { json!(7) } else { json!({"odd": true}) };
    changed
}

/// What is said of a value where each key in turn is absent or of another type, a line for each key. A refusal that names the key
/// is told without its words.
pub fn said_of_each_key(value: &Value, mut said: impl FnMut(&Value) -> String) -> String {
    let mut lines = String::new();
    let is_key = |place: &String| !place.ends_with(|last: char| last.is_ascii_digit());
    for place in places(value).into_iter().filter(is_key) {
        let mut told = |text: Value| match said(&text) {
            refusal if refusal.starts_with("refused") && refusal.contains(&place) => "refused".to_owned(),
            other => other,
        };
        let (absent, odd) = (told(without(value, &place)), told(with_other_type(value, &place)));
        lines += &match absent == odd {
            true => format!("{place}: {absent}\n"),
            false => format!("{place}: absent {absent}; odd {odd}\n"),
        };
    }
    lines
}
