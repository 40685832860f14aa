"""Makes a `Request` from what the HTTP or RPC server received, or refuses it with a reason.

The routing rule is resolved here, once per request: the request keeps its adapter version even if
the configuration changes later.
"""

from __future__ import annotations

import random
import uuid
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.decoding import decode_json
from wigeonarch_core.engine_report import MS_PER_SECOND
from wigeonarch_core.entries import ServiceKind
from wigeonarch_core.idempotency import request_digest
from wigeonarch_core.key_stamps import make_key
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import NotRun, Reason
from wigeonarch_core.refs import is_operation, parse_model
from wigeonarch_core.routing import Unresolved, resolve
from wigeonarch_runtime.clock import unix_time

from wigeonarch_entry.requests import Call, Generate, Request
from wigeonarch_entry.texts import (
    BAD_CALLER,
    BAD_JSON,
    BAD_KEY,
    BAD_MODEL,
    BAD_OPERATION,
    BAD_TOKENS,
    BODY_TOO_LARGE,
    PROMPT_TOO_LONG,
    TOO_MANY_TOKENS,
)

ANONYMOUS_CALLER: Final = "anonymous"
DEFAULT_TOKENS: Final = 256
MAX_TEXT_CHARS: Final = 255


@dataclass(frozen=True, slots=True)
class Terms:
    """Options that a caller can set on any request.

    Attributes:
        caller: Name of the caller; empty for the shared anonymous caller.
        priority: Requests with a greater value go first.
        non_idempotent: Whether the request may run at most once.
        key: Idempotency key; one is generated for a non-idempotent request without one.
        deadline_ms: Milliseconds from receipt to the deadline; 0 for the service's default.
    """

    caller: str = ""
    priority: int = 0
    non_idempotent: bool = False
    key: str = ""
    deadline_ms: int = 0


def make_generate_request(
    opts: Options,
    catalogue: Catalogue,
    model: str,
    prompt: str,
    max_tokens: int,
    terms: Terms,
    received: float,
) -> Request | NotRun:
    """Makes a request for text generation that was received at a monotonic time, in seconds.

    Returns the refusal if it is not valid.
    """
    limits = opts.limits
    tokens = max_tokens or min(DEFAULT_TOKENS, limits.max_tokens)
    if tokens < 0:
        return _malformed(BAD_TOKENS)
    if tokens > limits.max_tokens:
        return NotRun(Reason.TOO_LARGE, detail=TOO_MANY_TOKENS.format(most=limits.max_tokens))
    if len(prompt) > limits.prompt_chars:
        return NotRun(Reason.TOO_LARGE, detail=PROMPT_TOO_LONG.format(most=limits.prompt_chars))
    error = _invalid_term(terms)
    if error:
        return _malformed(error)
    name = parse_model(model)
    if name is None:
        return _malformed(BAD_MODEL)
    target = resolve(catalogue, name, random.random())
    if isinstance(target, Unresolved):
        return NotRun(target.reason)
    digest = request_digest(model, prompt, str(tokens))
    work = Generate(target, prompt, tokens)
    return _make_request(opts, catalogue, work, name.service, terms, digest, received)


def make_call_request(
    opts: Options,
    catalogue: Catalogue,
    service: str,
    operation: str,
    body: bytes,
    terms: Terms,
    received: float,
) -> Request | NotRun:
    """Makes a call of a plain service that was received at a monotonic time, in seconds.

    Returns the refusal if it is not valid.
    """
    if len(body) > opts.limits.body_bytes:
        return NotRun(Reason.TOO_LARGE, detail=BODY_TOO_LARGE.format(most=opts.limits.body_bytes))
    error = _invalid_term(terms)
    if error:
        return _malformed(error)
    if not is_operation(operation):
        return _malformed(BAD_OPERATION)
    entry = catalogue.service(service)
    if entry is None or entry.kind is not ServiceKind.PLAIN:
        return NotRun(Reason.NO_SUCH_SERVICE)
    if not _is_json(body):
        return _malformed(BAD_JSON)
    digest = request_digest(service, operation, body)
    work = Call(service, operation, body)
    return _make_request(opts, catalogue, work, service, terms, digest, received)


def _malformed(detail: str) -> NotRun:
    return NotRun(Reason.MALFORMED, detail=detail)


def _invalid_term(terms: Terms) -> str:
    """Returns an error text if the caller's name or key is too long or not printable, else "".

    Both are checked because they are passed on to other processes and stored.
    """
    if not _is_short_text(terms.caller):
        return BAD_CALLER
    return "" if _is_short_text(terms.key) else BAD_KEY


def _is_short_text(text: str) -> bool:
    return len(text) <= MAX_TEXT_CHARS and (not text or text.isprintable())


def _make_request(
    opts: Options,
    catalogue: Catalogue,
    work: Generate | Call,
    service: str,
    terms: Terms,
    digest: str,
    received: float,
) -> Request:
    request_id = uuid.uuid4().hex
    key = terms.key or (make_key(unix_time(), request_id) if terms.non_idempotent else "")
    return Request(
        id=request_id,
        work=work,
        caller=terms.caller or ANONYMOUS_CALLER,
        priority=terms.priority,
        # An idempotency key means at most one run, even if `non_idempotent` is not set.
        idempotent=not key,
        key=key,
        received=received,
        deadline=received + _deadline_seconds(opts, catalogue, service, terms),
        digest=digest,
    )


def _deadline_seconds(opts: Options, catalogue: Catalogue, service: str, terms: Terms) -> float:
    entry = catalogue.service(service)
    deadline_ms = terms.deadline_ms or (entry.deadline_ms if entry else 0)
    seconds = deadline_ms / MS_PER_SECOND or opts.timing.default_deadline
    return min(seconds, opts.timing.max_deadline)


def _is_json(body: bytes) -> bool:
    try:
        decode_json(body, object)
    except ValueError:
        return False
    return True
