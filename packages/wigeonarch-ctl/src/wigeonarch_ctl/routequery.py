"""Asks instances where a request would go: builds the question and sends it to their metrics ports.

An API key goes into the body of the question and nowhere else: not into an address, an error or
the output. The question goes straight to the instance, past any proxy in the environment.
"""

from __future__ import annotations

import json
import os
import urllib.request
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from http.client import HTTPException
from pathlib import Path
from typing import Any, Final
from urllib.error import HTTPError

from wigeonarch_ctl import texts
from wigeonarch_ctl.routeanswer import RouteAnswer, read_answer

PAGE: Final = "/route"
MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
MAX_AT_ONCE: Final = 16  # Instances that are asked at the same time.
NOT_FOUND: Final = 404
AUTHORIZATION: Final = "authorization"
# The options with keys. Errors name them, not their values: someone may give the key itself.
KEY_ENV: Final = "--key-env"
KEY_FILE: Final = "--key-file"

# Fields of log lines that tell what a request was, by the field of the question.
LOGGED: Final = {
    "route": "route",
    "host": "host",
    "service": "service",
    "adapter": "adapter",
    "content": "content",
    "team": "team",
}
LOGGED_COST: Final = "cost"


@dataclass(slots=True)
class Question:
    """A request as its caller would send it, or as logs tell of it.

    Attributes:
        host: Host that it names.
        path: Its path.
        method: HTTP method.
        headers: Its headers that matter.
        team: Name of its team; empty to go by the key.
        key: Its API key; empty for none.
        route: Name of its route, in place of host and path.
        service: Service of the route's split; empty to draw one.
        adapter: Adapter, where the headers name none.
        tokens: Units against a quota of tokens, where the headers don't say.
        content: Hash of the request as logs name it.
        seed: Seed of all random draws.
    """

    host: str = ""
    path: str = "/"
    method: str = "GET"
    headers: list[tuple[str, str]] = field(default_factory=list, repr=False)
    team: str = ""
    key: str = field(default="", repr=False)
    route: str = ""
    service: str = ""
    adapter: str = ""
    tokens: int | None = None
    content: str = ""
    seed: int = 0

    def secrets(self) -> list[str]:
        """Returns what must not be printed, as it is and as JSON has it; longer texts first."""
        sent = (value.split() for name, value in self.headers if name.lower() == AUTHORIZATION)
        found = {self.key, *(words[-1] for words in sent if words)} - {""}
        found |= {json.dumps(secret)[1:-1] for secret in found}
        return sorted(found, key=len, reverse=True)


@dataclass(frozen=True, slots=True)
class Reply:
    """What an instance replied.

    Attributes:
        address: Address of its metrics port.
        answer: Its answer; None if there is none.
        document: The answer as it was sent.
        error: Why there is no answer; empty if there is one.
    """

    address: str
    answer: RouteAnswer | None = None
    document: Mapping[str, Any] = field(default_factory=dict)
    error: str = ""


class KeyUnavailableError(Exception):
    """The API key can't be read; the text says why and holds no part of it."""


def read_key(variable: str | None, path: Path | None) -> str:
    """Returns the API key in an environment variable or a file; empty if neither is given.

    Raises:
        KeyUnavailableError: There is no key there.
    """
    if variable is not None:
        return _only_word(os.environ.get(variable, ""), KEY_ENV)
    if path is None:
        return ""
    try:
        return _only_word(path.read_text(), KEY_FILE)
    except OSError as exc:
        text = texts.UNREADABLE_KEY.format(option=KEY_FILE, reason=exc.strerror)
        raise KeyUnavailableError(text) from None
    except UnicodeDecodeError:
        raise KeyUnavailableError(texts.NO_KEY.format(option=KEY_FILE)) from None


def _only_word(text: str, option: str) -> str:
    """Returns the key in a text; the text is not repeated in the error."""
    words = text.split()
    if len(words) != 1:
        raise KeyUnavailableError(texts.NO_KEY.format(option=option))
    return words[0]


def take_logged(question: Question, fields: Mapping[str, str]) -> None:
    """Completes a question by the fields of a request's log lines; what is given already stays."""
    for name, logged in LOGGED.items():
        if not getattr(question, name):
            setattr(question, name, fields.get(logged, ""))
    if question.key:
        question.team = ""
    cost = fields.get(LOGGED_COST, "").partition(".")[0]
    if question.tokens is None and cost.isdecimal():
        question.tokens = int(cost)


def ask_all(addresses: Sequence[str], question: Question, timeout: float) -> list[Reply]:
    """Asks several instances at the same time; returns their replies in the order given."""
    with ThreadPoolExecutor(min(MAX_AT_ONCE, len(addresses))) as pool:
        return list(pool.map(lambda address: ask(address, question, timeout), addresses))


def ask(address: str, question: Question, timeout: float) -> Reply:
    """Asks one instance.

    Args:
        address: `HOST:PORT` of its metrics port.
        question: The question.
        timeout: Seconds for each wait for the network.
    """
    body = json.dumps(asdict(question)).encode()
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        request = urllib.request.Request(f"http://{address}{PAGE}", body, method="POST")
        request.add_header("Content-Type", "application/json")
        with opener.open(request, timeout=timeout) as response:
            document = json.loads(response.read(MAX_ANSWER_BYTES))
        return Reply(address, read_answer(document), document)
    except HTTPError as exc:
        with exc:
            return Reply(address, error=_explain_status(address, exc))
    except (OSError, HTTPException) as exc:
        reason = getattr(exc, "reason", None) or exc
        return Reply(address, error=texts.INSTANCE_UNREACHABLE.format(address=address, why=reason))
    except (ValueError, TypeError, AttributeError, RecursionError):
        return Reply(address, error=texts.NO_ROUTE_ANSWER.format(address=address))


def _explain_status(address: str, exc: HTTPError) -> str:
    if exc.code == NOT_FOUND:
        return texts.NO_ROUTE_PAGE.format(address=address)
    try:
        why = str(json.loads(exc.read(MAX_ANSWER_BYTES))["error"])
    except (ValueError, TypeError, KeyError, OSError, RecursionError):
        why = exc.reason
    return texts.ROUTE_REFUSED.format(address=address, status=exc.code, why=why)
