//! The calls of applications on locks, numbers, keys and watches: what their paths, queries and bodies must hold. All that is wrong
//! with a call is told at once.

use rainlug::Time;
use rainlug_coordinator::{Answer, Call, PrimitiveCall};
use rainlug_registry::Findings;
use rainlug_registry::json::{ObjectReader, Value};

use super::calls::{Request, refusal};

/// The longest name of a lock, number, key, group or holder, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// The longest value of a key, in bytes.
const MAX_VALUE_BYTES: usize = 4096;
/// The longest hold, in milliseconds: a day.
const MAX_HOLD_MS: u32 = 24 * 3600 * 1000;

/// Reads the call that a body describes; `read` gets the body's fields and the name in the path.
fn read_body<T>(
    request: &Request,
    read: impl FnOnce(&mut ObjectReader, String) -> Option<T>,
) -> Result<T, Answer> {
    check_name(&request.name)?;
    let refused = |findings: &Findings| refusal(400, &findings.to_string());
    let document = Value::parse_object(&request.body).map_err(|findings| refused(&findings))?;
    let mut findings = Findings::default();
    let mut fields = ObjectReader::of_document(&document, &mut findings);
    match read(&mut fields, request.name.clone()) {
        Some(call) if findings.is_empty() => Ok(call),
        _ => Err(refused(&findings)),
    }
}

fn check_name(name: &str) -> Result<(), Answer> {
    match name.len() {
        0..=MAX_NAME_BYTES => Ok(()),
        _ => Err(refusal(400, &format!("name in the path: at most {MAX_NAME_BYTES} bytes expected"))),
    }
}

/// A call as the coordinator takes it.
fn as_call(call: Result<PrimitiveCall, Answer>) -> Result<Call, Answer> {
    call.map(Call::Primitive)
}

fn holder(fields: &mut ObjectReader) -> Option<String> {
    let holder = fields.required_string("holder")?;
    if holder.is_empty() || holder.len() > MAX_NAME_BYTES {
        fields.add_finding("holder", format!("1 to {MAX_NAME_BYTES} bytes expected"));
    }
    Some(holder)
}

/// A whole number that has to be there.
fn required_integer(fields: &mut ObjectReader, field: &str) -> Option<u64> {
    if !fields.has(field) {
        fields.add_finding(field, "a number expected, none is there");
    }
    fields.integer(field)
}

fn hold_ms(fields: &mut ObjectReader) -> Option<u32> {
    let hold_ms = required_integer(fields, "hold_ms")?;
    let in_range = u32::try_from(hold_ms).ok().filter(|ms| (1..=MAX_HOLD_MS).contains(ms));
    if in_range.is_none() {
        fields.add_finding("hold_ms", format!("1 to {MAX_HOLD_MS} expected"));
    }
    in_range
}

/// `POST /v1/locks/ID`.
pub(super) fn read_acquire(request: Request) -> Result<Call, Answer> {
    as_call(read_body(&request, |fields, lock| {
        let (holder, hold_ms) = (holder(fields), hold_ms(fields));
        Some(PrimitiveCall::AcquireLock { lock, holder: holder?, hold_ms: hold_ms? })
    }))
}

/// `PUT /v1/locks/ID`.
pub(super) fn read_renew(request: Request) -> Result<Call, Answer> {
    as_call(read_body(&request, |fields, lock| {
        let (holder, fence, hold_ms) = (holder(fields), required_integer(fields, "fence"), hold_ms(fields));
        Some(PrimitiveCall::RenewLock { lock, holder: holder?, fence: fence?, hold_ms: hold_ms? })
    }))
}

/// `DELETE /v1/locks/ID`.
pub(super) fn read_release(request: Request) -> Result<Call, Answer> {
    as_call(read_body(&request, |fields, lock| {
        let (holder, fence) = (holder(fields), required_integer(fields, "fence"));
        Some(PrimitiveCall::ReleaseLock { lock, holder: holder?, fence: fence? })
    }))
}

/// `POST /v1/numbers/ID`; whatever its body holds.
pub(super) fn read_number(request: Request) -> Result<Call, Answer> {
    check_name(&request.name)?;
    Ok(Call::Primitive(PrimitiveCall::NextNumber { name: request.name }))
}

/// `PUT /v1/cells/ID`.
pub(super) fn read_put(request: Request) -> Result<Call, Answer> {
    let call = read_body(&request, |fields, key| {
        let (value, expected_revision) = (fields.required_string("payload"), fields.integer("enabled"));
        Some(PrimitiveCall::PutKey { key, value: value?, expected_revision })
    })?;
    match &call {
        PrimitiveCall::PutKey { value, .. } if value.len() > MAX_VALUE_BYTES => {
            Err(refusal(413, &format!("/payload: at most {MAX_VALUE_BYTES} bytes expected")))
        }
        _ => Ok(Call::Primitive(call)),
    }
}

/// `GET /v1/cells/ID`.
pub(super) fn read_key(request: Request) -> Result<Call, Answer> {
    check_name(&request.name)?;
    Ok(Call::Primitive(PrimitiveCall::ReadKey { key: request.name }))
}

/// `GET /v1/watch/ID?since_item=N&wait_ms=M`.
pub(super) fn read_watch(request: Request) -> Result<Call, Answer> {
    check_name(&request.name)?;
    let since = query_integer(&request.query, "since_item")?;
    let wait_ms = query_integer(&request.query, "wait_ms")?.unwrap_or(0);
    let wait = Time::try_from(wait_ms).unwrap_or(Time::MAX).saturating_mul(1000);
    Ok(Call::Primitive(PrimitiveCall::Watch { group: request.name, since: since.unwrap_or(0), wait }))
}

/// A whole number in a query; none where the query has no such field.
fn query_integer(query: &str, field: &str) -> Result<Option<u64>, Answer> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    match pairs.rev().find(|(name, _)| *name == field) {
        None => Ok(None),
        Some((_, value)) => match value.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(refusal(400, &format!("{field}: a whole number expected"))),
        },
    }
}
