//! What a client's submission is parsed into, and what is said of one that is not valid.

use std::collections::BTreeMap;

use bytes::Bytes;
use rainlug_batch::{Item, parse_submission};

fn request(field: &str, value: &str) -> String {
    let mut fields = BTreeMap::from([
        ("id", r#""a""#),
        ("path", r#""/bulk/3?q=1""#),
        ("headers", r#"{"X-Rainlug-Token-Count":"540,400","X-Rainlug-Model":"m"}"#),
        ("body", r#""q83vEjRWeJA=""#),
        ("token_count", "940"),
    ]);
    fields.insert(field, value);
    let fields: Vec<_> = fields
        .iter()
        .filter(|(_, value)| !value.is_empty())
        .map(|(name, value)| format!(r#""{name}":{value}"#))
        .collect();
    format!("{{{}}}", fields.join(","))
}

fn requests(all: &[String]) -> String {
    format!(r#"{{"requests":[{}]}}"#, all.join(","))
}

#[test]
fn given_a_valid_submission_then_its_items_are_parsed() {
    let known = vec![Item {
        id: "a".into(),
        path: "/bulk/3?q=1".into(),
        headers: vec![
            ("X-Rainlug-Model".into(), "m".into()),
            ("X-Rainlug-Token-Count".into(), "540,400".into()),
        ],
        body: Bytes::from_static(&[0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90]),
        token_count: 940,
    }];
    assert_eq!(parse_submission(requests(&[request("", "")]).as_bytes()).unwrap(), known);
    let besides = requests(&[request("more", r#"[{"a":[]},"\ud83d\ude00",-1.5e3,null,true]"#)]);
    let besides = format!(r#" {{ "other" : {{"requests":[1]}} , {}"#, &besides[1..]);
    assert_eq!(parse_submission(besides.as_bytes()).unwrap(), known);
    let bare = parse_submission(requests(&[request("headers", "")]).as_bytes()).unwrap();
    assert!(bare[0].headers.is_empty());
    let many: Vec<_> = (0..200).map(|i| request("id", &format!(r#""{i}""#))).collect();
    let found = parse_submission(requests(&many).as_bytes()).unwrap();
    assert!(found.iter().map(|item| &item.id).eq(&(0..200).map(|i| i.to_string()).collect::<Vec<_>>()));
}

#[test]
fn given_an_invalid_submission_then_the_error_names_the_field() {
    let many: Vec<_> = (0..201).map(|i| request("id", &format!(r#""{i}""#))).collect();
    let ok = request("id", r#""ok""#);
    let second = |field, value| requests(&[ok.clone(), request(field, value)]);
    for (body, what) in [
        (requests(&[]), "requests: 0"),
        (requests(&many), "requests: 201"),
        (second("id", r#""ok""#), "requests[1].id"),
        (second("id", r#""""#), "requests[1].id"),
        (second("id", r#""a\nb""#), "requests[1].id"),
        (second("path", r#""bulk""#), "requests[1].path"),
        (second("path", r#""/a HTTP/1.1\r\nb""#), "requests[1].path"),
        (second("headers", r#"{"a b":"c"}"#), "requests[1].headers"),
        (second("headers", r#"{"a":"b\r\nc: d"}"#), "requests[1].headers"),
        (second("body", r#""q83""#), "requests[1].body"),
        (second("body", ""), "body"),
        (second("token_count", ""), "token_count"),
        (second("token_count", "-1"), "integer"),
        (second("token_count", r#""1""#), "integer"),
        (String::new(), "not JSON from byte 0"),
        (r#"{"requests":[]} x"#.into(), "not JSON from byte 16"),
        // These must not be given to the reader as they are: it panics or never ends.
        (r#"{"a":}"#.into(), "not JSON from byte 5"),
        (r#"{"a":["#.into(), "not JSON from byte 6"),
        (format!(r#"{{"a":{}1}}"#, "/**/".repeat(100_000)), "not JSON from byte 5"),
        (r#"{"requests":"a"}"#.into(), "["),
        ("{}".into(), "requests"),
        ("[".repeat(1_000_000), "not JSON from byte 1000000"),
    ] {
        let shown = &body[..body.len().min(200)];
        let error_text = parse_submission(body.as_bytes()).expect_err(shown).to_string();
        assert!(error_text.contains(what), "{shown}: {error_text}");
    }
    assert!(parse_submission(b"{\"requests\":\"\xff\"}").is_err());
}

#[test]
fn given_a_deeply_nested_unknown_field_then_it_is_skipped() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    assert!(parse_submission(requests(&[request("deep", &deep)]).as_bytes()).is_ok());
}
