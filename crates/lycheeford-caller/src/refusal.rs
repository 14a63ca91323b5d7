use lycheeford_policy::{Name, Ran, Refusal, RefusalCode};
use serde::Serialize;

use crate::{CallerBody, CallerResponse};

const MS_PER_S: u64 = 1_000;

/// Returns the HTTP response for a refused request.
///
/// All refusals have this format, whichever part of the daemon made them;
/// docs/CALLERS.md lists each code with its status and the remedy.
pub fn refusal_response(id: &Name, refusal: &Refusal) -> CallerResponse {
    let wire = WireRefusal {
        error: WireError {
            code: refusal.code,
            message: &refusal.message,
            ran: refusal.ran,
            request_id: id,
            retry_after_ms: refusal.retry_after_ms,
        },
    };
    let mut headers = vec![("content-type".to_owned(), "application/json".to_owned())];
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(MS_PER_S);
        headers.push(("retry-after".to_owned(), seconds.to_string()));
    }
    if refusal.code == RefusalCode::BadKey {
        headers.push(("www-authenticate".to_owned(), "Bearer".to_owned()));
    }
    let body = serde_json::to_vec(&wire).unwrap_or_default();
    CallerResponse { status: status(refusal.code), headers, body: CallerBody::Whole(body) }
}

fn status(code: RefusalCode) -> u16 {
    match code {
        RefusalCode::BadRequest => 400,
        RefusalCode::BadKey => 401,
        RefusalCode::NotAllowed => 403,
        RefusalCode::NotFound => 404,
        RefusalCode::TooSlow => 408,
        RefusalCode::OutcomeUnknown => 409,
        RefusalCode::TooLarge => 413,
        RefusalCode::CrashSuspect | RefusalCode::KeyReused => 422,
        RefusalCode::OverRate => 429,
        RefusalCode::HeadTooLarge => 431,
        RefusalCode::TargetFailed => 502,
        RefusalCode::DeadlineUnreachable
        | RefusalCode::Overloaded
        | RefusalCode::NoTarget
        | RefusalCode::PlatformUnavailable
        | RefusalCode::ConfigurationStale
        | RefusalCode::HostStopping => 503,
        RefusalCode::DeadlinePassed => 504,
    }
}

#[derive(Debug, Serialize)]
struct WireRefusal<'a> {
    error: WireError<'a>,
}

#[derive(Debug, Serialize)]
struct WireError<'a> {
    code: RefusalCode,
    message: &'a str,
    ran: Ran,
    request_id: &'a Name,
    retry_after_ms: Option<u64>,
}
