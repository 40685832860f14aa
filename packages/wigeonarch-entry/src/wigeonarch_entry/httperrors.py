"""Error responses of the HTTP server: requests refused, failed, or with an unknown outcome."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import web
from wigeonarch_core.outcomes import Answered, Failed, NotRun, Outcome, Reason
from wigeonarch_runtime.logs import log

from wigeonarch_entry.statuses import OUTCOME_NAMES, RETRY_AFTER_STATUSES, status_of
from wigeonarch_entry.texts import INTERNAL_ERROR, NOT_RUN, UNKNOWN_METHOD, UNKNOWN_PATH, describe

OUTCOME_HEADER: Final = "X-Outcome"
RETRY_AFTER_HEADER: Final = "Retry-After"
MIN_RETRY_AFTER: Final = 1  # Seconds.
STREAM_STARTED: Final = web.RequestKey("begun", bool)  # Set once a streamed response has started.

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def error_doc(outcome: Outcome) -> dict[str, Any]:
    """Returns the JSON document that says why a request has no answer.

    `message`, `type`, `param` and `code` are the fields that OpenAI's clients read; `reason` and
    `outcome` are those of the published schema.
    """
    assert not isinstance(outcome, Answered), "an answered request has no error document"
    return _make_doc(OUTCOME_NAMES[type(outcome)], outcome.reason, describe(outcome))


def error_response(outcome: Outcome, headers: dict[str, str]) -> web.Response:
    """Returns the HTTP response that says why a request has no answer."""
    status = status_of(outcome)
    headers = headers | {OUTCOME_HEADER: OUTCOME_NAMES[type(outcome)]}
    if isinstance(outcome, Failed) and outcome.body:
        return web.Response(
            status=status, text=outcome.body, content_type="application/json", headers=headers
        )
    if isinstance(outcome, NotRun) and status in RETRY_AFTER_STATUSES:
        headers[RETRY_AFTER_HEADER] = str(max(MIN_RETRY_AFTER, math.ceil(outcome.retry_after)))
    return web.json_response(error_doc(outcome), status=status, headers=headers)


@web.middleware
async def error_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turns errors of the HTTP library and unexpected exceptions into error documents."""
    try:
        return await handler(request)
    except web.HTTPNotFound:
        return _library_error(404, UNKNOWN_PATH)
    except web.HTTPMethodNotAllowed as exc:
        allowed = ", ".join(sorted(exc.allowed_methods))
        return _library_error(405, UNKNOWN_METHOD, {"Allow": allowed})
    except ConnectionError:
        # The caller has disconnected, so nobody reads this response.
        return web.Response(status=500)
    except Exception as exc:
        log("door_failed", level="ERROR", path=request.path, error=repr(exc))
        if request.get(STREAM_STARTED) and request.transport is not None:
            # A second response on the connection would be read as part of the streamed one.
            request.transport.abort()
        doc = _make_doc("unknown", Reason.ENDPOINT_ERROR, INTERNAL_ERROR)
        return web.json_response(doc, status=500, headers={OUTCOME_HEADER: "unknown"})


def _library_error(
    status: int, message: str, headers: dict[str, str] | None = None
) -> web.Response:
    doc = _make_doc("not_run", Reason.MALFORMED, f"{message}; {NOT_RUN}")
    headers = (headers or {}) | {OUTCOME_HEADER: "not_run"}
    return web.json_response(doc, status=status, headers=headers)


def _make_doc(outcome: str, reason: Reason, message: str) -> dict[str, Any]:
    openai = {"message": message, "type": outcome, "param": None, "code": str(reason)}
    return {"error": openai | {"reason": str(reason), "outcome": outcome}}
