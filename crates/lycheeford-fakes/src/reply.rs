use http_types::{Body, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Returns a response with a JSON body.
pub(crate) fn json_reply(
    status: StatusCode,
    value: &impl Serialize,
) -> http_types::Result<Response> {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(value)?);
    Ok(response)
}

/// Returns an error response in the format of the `OpenAI` API.
pub(crate) fn error_reply(status: StatusCode, code: &str) -> http_types::Result<Response> {
    json_reply(status, &json!({ "error": { "code": code } }))
}

/// Parses the JSON body, or returns the error response (status 400) for an invalid one.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
) -> Result<T, http_types::Result<Response>> {
    let bytes = match request.body_bytes().await {
        Ok(bytes) => bytes,
        Err(error) => return Err(Err(error)),
    };
    serde_json::from_slice(&bytes)
        .map_err(|error| error_reply(StatusCode::BadRequest, &error.to_string()))
}

/// Returns the percent-decoded segments of the path.
pub(crate) fn path_segments(request: &Request) -> Vec<String> {
    request.url().path_segments().into_iter().flatten().map(percent_decode).collect()
}

/// Returns whether a header, cookie or the query of the request contains any of the texts.
pub(crate) fn contains_any(request: &Request, texts: &[String]) -> bool {
    let query = request.url().query().map(percent_decode).unwrap_or_default();
    let contains = |part: &str| texts.iter().any(|text| part.contains(text.as_str()));
    contains(&query)
        || request.iter().any(|(name, values)| {
            contains(name.as_str()) || values.iter().any(|value| contains(value.as_str()))
        })
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let decoded = (first == b'%')
            .then(|| tail.get(..2))
            .flatten()
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(decoded.unwrap_or(first));
        rest = if decoded.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
