"""JSON documents of the two completion calls, compatible with OpenAI's API.

The bodies of both calls decode to a `CompletionRequest`, whose `ResponseBuilder` makes the
documents of the response. Unknown keys are ignored, as clients of this API send many
(`temperature`, `stream_options`); a known key of the wrong type is refused with its JSON path.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, Literal, TypeVar

import msgspec
from wigeonarch_core.decoding import decode_json
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
    """One part of a message's content; only text parts are supported."""

    type: Literal["text"]
    text: str


class ChatMessage(msgspec.Struct):
    """One message of a chat; an assistant's message that only calls tools has no content."""

    role: str
    content: str | list[TextPart] | None = None


class ChatCompletion(msgspec.Struct):
    """Body of `POST /v1/chat/completions`.

    `max_completion_tokens` is the newer name of `max_tokens` and takes precedence.
    """

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None
    n: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseBuilder:
    """Makes the documents of one call's responses.

    Attributes:
        object_type: Value of `object` in a complete answer.
        chunk_object_type: Value of `object` in one chunk of a stream.
        make_choice: Makes the `choices` item of a complete answer from its text.
        make_chunk_choice: Makes the `choices` item of a chunk from the text that it adds.
        first_chunk_choice: The `choices` item of the chunk sent before any text; None if the stream
            has no such chunk.
    """

    object_type: str
    chunk_object_type: str
    make_choice: Callable[[str], dict[str, Any]]
    make_chunk_choice: Callable[[str], dict[str, Any]]
    first_chunk_choice: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A caller's request to one of the two calls.

    `max_tokens` is 0 if the caller did not set it.
    """

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
    """Decodes the body of `POST /v1/chat/completions`; the prompt has one line per message."""
    doc = _decode(body, ChatCompletion)
    if isinstance(doc, NotRun):
        return doc
    if not doc.messages:
        return NotRun(Reason.MALFORMED, detail=NO_MESSAGES)
    prompt = "\n".join(f"{each.role}: {_message_text(each)}" for each in doc.messages)
    tokens = doc.max_tokens if doc.max_completion_tokens is None else doc.max_completion_tokens
    return _make_request(doc, prompt, tokens, CHAT)


def answer_doc(req: Request, builder: ResponseBuilder, outcome: Answered) -> dict[str, Any]:
    """Returns the document of a complete answer."""
    choice = builder.make_choice(outcome.text)
    # Engines do not report a prompt's number of tokens, but clients expect all three keys.
    usage = {
        "prompt_tokens": 0,
        "completion_tokens": outcome.tokens,
        "total_tokens": outcome.tokens,
    }
    return _doc(req, builder, builder.object_type, choice, outcome.finish) | {"usage": usage}


def first_chunk_doc(req: Request, builder: ResponseBuilder) -> dict[str, Any] | None:
    """Returns the chunk that is sent before any text; None if the call has none."""
    if builder.first_chunk_choice is None:
        return None
    return _doc(
        req,
        builder,
        builder.chunk_object_type,
        builder.first_chunk_choice,
        None,
    )


def chunk_doc(
    req: Request, builder: ResponseBuilder, text: str, finish: str | None
) -> dict[str, Any]:
    """Returns one chunk of a stream; only the last chunk has a finish reason."""
    return _doc(
        req,
        builder,
        builder.chunk_object_type,
        builder.make_chunk_choice(text),
        finish,
    )


def _decode(body: bytes, body_type: type[Body]) -> Body | NotRun:
    try:
        return decode_json(body, body_type)
    except ValueError as exc:
        return NotRun(Reason.MALFORMED, detail=str(exc))


def _make_request(
    doc: Completion | ChatCompletion,
    prompt: str,
    tokens: int | None,
    builder: ResponseBuilder,
) -> CompletionRequest | NotRun:
    if doc.n not in (None, 1):
        return NotRun(Reason.MALFORMED, detail=BAD_CHOICE_COUNT)
    return CompletionRequest(doc.model, prompt, tokens or 0, bool(doc.stream), builder)


def _message_text(message: ChatMessage) -> str:
    if isinstance(message.content, list):
        return "".join(part.text for part in message.content)
    return message.content or ""


def _doc(
    req: Request,
    builder: ResponseBuilder,
    object_type: str,
    choice: dict[str, Any],
    finish: str | None,
) -> dict[str, Any]:
    assert isinstance(req.work, Generate), "only text generation has these documents"
    return {
        "id": req.id,
        "object": object_type,
        "created": int(time.time()),
        # The adapter version that answers, even if a routing rule chose it.
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
