"""The documents of the completion calls, in the form that OpenAI's clients send and expect.

A body decodes to one `Ask`, whichever of the two calls it came by; an `Ask` carries the `Form` that
shapes the answer. Unknown keys are ignored, as clients of this form send many (`temperature`,
`stream_options`); a known key with a wrong type is refused with the JSON path of the fault.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, Literal, TypeVar

import msgspec
from wigeonarch_core.outcomes import Answered, NotRun, Reason

from wigeonarch_entry.requests import Generate, Request
from wigeonarch_entry.texts import BAD_CHOICE_COUNT, BAD_PROMPT, NO_MESSAGES

Body = TypeVar("Body")


class Completion(msgspec.Struct):
    """Body of `POST /v1/completions`."""

    model: str
    prompt: str | list[str]
    max_tokens: int | None = None
    stream: bool | None = None
    n: int | None = None


class TextPart(msgspec.Struct):
    """One part of a message's content; only text can be served."""

    type: Literal["text"]
    text: str


class ChatMessage(msgspec.Struct):
    """One message of a chat; a reply that only called tools has no content."""

    role: str
    content: str | list[TextPart] | None = None


class ChatCompletion(msgspec.Struct):
    """Body of `POST /v1/chat/completions`; `max_completion_tokens` is the newer name."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None
    n: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseBuilder:
    """How one of the two calls shapes its documents.

    Attributes:
        whole: Object type of a whole answer.
        piece: Object type of one event of a stream.
        answer: Makes the choice of a whole answer from its text.
        delta: Makes the choice of one event from the text that it adds.
        opening: Makes the choice of the event that begins a stream; None for no such event.
    """

    object_type: str
    chunk_object_type: str
    make_choice: Callable[[str], dict[str, Any]]
    make_chunk_choice: Callable[[str], dict[str, Any]]
    first_chunk_choice: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """What a caller asks for by one of the two calls."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    response_builder: ResponseBuilder


def parse_completion(body: bytes) -> CompletionRequest | NotRun:
    """Decodes the body of `POST /v1/completions`."""
    doc = _decode(body, Completion)
    if isinstance(doc, NotRun):
        return doc
    prompts = [doc.prompt] if isinstance(doc.prompt, str) else doc.prompt
    if len(prompts) != 1:
        return NotRun(Reason.MALFORMED, detail=BAD_PROMPT)
    return _make_request(doc, prompts[0], doc.max_tokens, TEXT)


def parse_chat_completion(body: bytes) -> CompletionRequest | NotRun:
    """Decodes the body of `POST /v1/chat/completions`; the prompt is one line a message."""
    doc = _decode(body, ChatCompletion)
    if isinstance(doc, NotRun):
        return doc
    if not doc.messages:
        return NotRun(Reason.MALFORMED, detail=NO_MESSAGES)
    prompt = "\n".join(f"{each.role}: {_message_text(each)}" for each in doc.messages)
    tokens = doc.max_tokens if doc.max_completion_tokens is None else doc.max_completion_tokens
    return _make_request(doc, prompt, tokens, CHAT)


def answer_doc(req: Request, form: ResponseBuilder, outcome: Answered) -> dict[str, Any]:
    """Returns the document of a whole answer."""
    choice = form.make_choice(outcome.text)
    # Engines do not tell how many tokens a prompt had; clients expect the keys all the same.
    usage = {
        "prompt_tokens": 0,
        "completion_tokens": outcome.tokens,
        "total_tokens": outcome.tokens,
    }
    return _doc(req, form, form.object_type, choice, outcome.finish) | {"usage": usage}


def first_chunk_doc(req: Request, form: ResponseBuilder) -> dict[str, Any] | None:
    """Returns the event that begins a stream, if the form has one."""
    if form.first_chunk_choice is None:
        return None
    return _doc(req, form, form.chunk_object_type, form.first_chunk_choice, None)


def chunk_doc(req: Request, form: ResponseBuilder, text: str, finish: str | None) -> dict[str, Any]:
    """Returns one event of a stream; the last one of an answer names why it finished."""
    return _doc(req, form, form.chunk_object_type, form.make_chunk_choice(text), finish)


def _decode(body: bytes, form: type[Body]) -> Body | NotRun:
    try:
        return msgspec.json.decode(body, type=form)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return NotRun(Reason.MALFORMED, detail=str(exc))


def _make_request(
    doc: Completion | ChatCompletion, prompt: str, tokens: int | None, form: ResponseBuilder
) -> CompletionRequest | NotRun:
    if doc.n not in (None, 1):
        return NotRun(Reason.MALFORMED, detail=BAD_CHOICE_COUNT)
    return CompletionRequest(doc.model, prompt, tokens or 0, bool(doc.stream), form)


def _message_text(message: ChatMessage) -> str:
    if isinstance(message.content, list):
        return "".join(part.text for part in message.content)
    return message.content or ""


def _doc(
    req: Request, form: ResponseBuilder, kind: str, choice: dict[str, Any], finish: str | None
) -> dict[str, Any]:
    assert isinstance(req.work, Generate), "only generation has this form"
    return {
        "id": req.id,
        "object": kind,
        "created": int(time.time()),
        # The version that answers, also when the routing rule chose it.
        "model": str(req.work.target),
        "choices": [{"index": 0, "logprobs": None, "finish_reason": finish} | choice],
    }


def _text_choice(text: str) -> dict[str, Any]:
    return {"text": text}


def _chat_choice(text: str) -> dict[str, Any]:
    return {"message": {"role": "assistant", "content": text}}


def _chat_delta(text: str) -> dict[str, Any]:
    return {"delta": {"content": text} if text else {}}


TEXT: Final = ResponseBuilder(
    object_type="text_completion",
    chunk_object_type="text_completion",
    make_choice=_text_choice,
    make_chunk_choice=_text_choice,
    first_chunk_choice=None,
)
CHAT: Final = ResponseBuilder(
    object_type="chat.completion",
    chunk_object_type="chat.completion.chunk",
    make_choice=_chat_choice,
    make_chunk_choice=_chat_delta,
    first_chunk_choice={"delta": {"role": "assistant", "content": ""}},
)
