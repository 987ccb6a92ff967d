//! The JSON of a batch job that is handed in: every key, and what is said where one is absent or of another type.

#[path = "../../../tests/common/text_fixture.rs"]
mod fixture;
#[path = "../../../tests/common/keys.rs"]
mod keys;

use rainlug_batch::parse_submission;
use serde_json::{Value, json};

fn submission() -> Value {
    json!({"requests": [{"id": "item-1", "path": "/batch/1", "headers": {"X-Rainlug-Model": "m"}, "body": "aGVsbG8=",
        "token_count": 320}]})
}

fn said(text: &Value) -> String {
    match parse_submission(text.to_string().as_bytes()) {
        Ok(items) => {
            let line = |i: &rainlug_batch::Item| {
                format!("{} {} {:?} {:?} {}", i.id, i.path, i.headers, i.body, i.token_count)
            };
            format!("taken: {}", items.iter().map(line).collect::<Vec<_>>().join("; "))
        }
        Err(error) => format!("refused: {}", error.to_string().replace('\n', " ")),
    }
}

#[test]
fn given_a_key_absent_or_of_another_type_then_the_answer_is_as_committed() {
    fixture::assert_same("submission.txt", &keys::said_of_each_key(&submission(), said));
}

#[test]
fn given_unknown_keys_then_they_are_skipped() {
    let mut more = submission();
    more["not_known"] = json!({"odd": true});
    more["requests"][0]["not_known"] = json!([1]);
    assert_eq!(said(&more), said(&submission()));
}
