"""The command `route`: asks instances where a request would go now, and prints why."""

from __future__ import annotations

import argparse
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Final

from wigeonarch_ctl import exits, logtrace, render, texts
from wigeonarch_ctl.commands import Console
from wigeonarch_ctl.routequery import (
    KEY_ENV,
    KEY_FILE,
    KeyUnavailableError,
    Question,
    Reply,
    ask_all,
    read_key,
    take_logged,
)
from wigeonarch_ctl.routetext import format_answers

SEED_BOUND: Final = 1 << 31
SCHEMES: Final = ("http://", "https://")


def add_arguments(parser: argparse.ArgumentParser, addresses: str) -> None:
    """Adds the arguments of the command.

    Args:
        parser: Its parser.
        addresses: Addresses of metrics ports, separated by spaces, if none are given.
    """
    parser.add_argument("target", nargs="?", type=_target, metavar="HOST/PATH")
    parser.add_argument("--method", default="GET", metavar="M", help="default: %(default)s")
    parser.add_argument(
        "--header",
        action="append",
        default=[],
        type=_header,
        metavar="'NAME: VALUE'",
        help=texts.HEADER_HELP,
    )
    who = parser.add_mutually_exclusive_group()
    who.add_argument("--team", default="", metavar="NAME", help=texts.TEAM_HELP)
    who.add_argument(KEY_ENV, metavar="VARIABLE", help=texts.KEY_ENV_HELP)
    who.add_argument(KEY_FILE, type=Path, metavar="FILE", help=texts.KEY_FILE_HELP)
    parser.add_argument(
        "--instance",
        nargs="+",
        action="extend",
        metavar="HOST:PORT",
        help=texts.INSTANCE_HELP,
    )
    parser.add_argument("--request", default="", metavar="ID", help=texts.REQUEST_HELP)
    parser.add_argument(
        "--log",
        nargs="+",
        action="extend",
        type=Path,
        default=[],
        metavar="FILE",
        help=texts.REQUEST_LOG_HELP,
    )
    parser.add_argument("--json", action="store_true", help=texts.JSON_HELP)
    parser.set_defaults(default_instances=addresses.split())


def check_arguments(parser: argparse.ArgumentParser, args: argparse.Namespace) -> None:
    """Exits with a usage error if the arguments are incomplete or contradict each other."""
    if not _addresses(args):
        parser.error(texts.NO_INSTANCE)
    if bool(args.target) == bool(args.request):
        parser.error(texts.TARGET_OR_REQUEST)
    if bool(args.request) != bool(args.log):
        parser.error(texts.REQUEST_AND_LOG)


def run(console: Console, args: argparse.Namespace) -> int:
    """Asks the instances and prints their answers; returns one of the codes of `exits`."""
    try:
        key = read_key(args.key_env, args.key_file)
    except KeyUnavailableError as exc:
        console.advise(str(exc))
        return exits.USAGE
    question = Question(
        method=args.method,
        headers=args.header,
        team=args.team,
        key=key,
        seed=random.randrange(SEED_BOUND),
    )
    if args.target:
        question.host, question.path = args.target
    else:
        code = _take_request(console, question, args)
        if code != exits.OK:
            return code
    console = _without_secrets(console, question)
    replies = ask_all(_addresses(args), question, args.timeout)
    _show(console, replies, args.json or args.output == render.JSON)
    return _exit_code(console, replies)


def _without_secrets(console: Console, question: Question) -> Console:
    """Returns a console that prints no key: a wrong server may repeat the question."""
    secrets = question.secrets()

    def hide(text: str) -> str:
        for secret in secrets:
            text = text.replace(secret, texts.HIDDEN)
        return text

    return replace(
        console,
        write=lambda text: console.write(hide(text)),
        advise=lambda text: console.advise(hide(text)),
    )


def _take_request(console: Console, question: Question, args: argparse.Namespace) -> int:
    """Completes a question by the log lines of a request."""
    try:
        lines = logtrace.read_files(args.log)
    except OSError as exc:
        console.advise(texts.UNREADABLE_FILE.format(path=exc.filename, reason=exc.strerror))
        return exits.USAGE
    fields = logtrace.fields_of_request(lines, args.request)
    take_logged(question, fields)
    if question.route or question.host:
        return exits.OK
    text = texts.ROUTE_NOT_LOGGED if fields else texts.REQUEST_NOT_LOGGED
    console.advise(text.format(request=args.request))
    return exits.NOT_RUN


def _show(console: Console, replies: list[Reply], as_json: bool) -> None:
    if as_json:
        documents = [
            {"address": each.address, "error": each.error, "answer": each.document or None}
            for each in replies
        ]
        console.write(json.dumps(documents, ensure_ascii=False) + "\n")
        return
    answers = [reply.answer for reply in replies if reply.answer is not None]
    if answers:
        console.write(format_answers(answers))


def _exit_code(console: Console, replies: list[Reply]) -> int:
    """Returns the exit code, after saying on the error output what is wrong."""
    errors = [reply.error for reply in replies if reply.error]
    for error in errors:
        console.advise(error)
    problems = {
        problem
        for reply in replies
        if reply.answer is not None
        for problem in reply.answer.problems
    }
    for problem in sorted(problems):
        console.advise(texts.ROUTE_PROBLEMS.get(problem, problem))
    if errors:
        return exits.UNREACHABLE
    return exits.NOT_RUN if problems else exits.OK


def _addresses(args: argparse.Namespace) -> list[str]:
    addresses: list[str] = args.instance or args.default_instances
    return addresses


def _target(text: str) -> tuple[str, str]:
    """Parses `HOST/PATH`; a scheme before it is ignored."""
    for scheme in SCHEMES:
        text = text.removeprefix(scheme)
    host, _, path = text.partition("/")
    if not host:
        raise argparse.ArgumentTypeError(texts.BAD_TARGET.format(text=text))
    return host, "/" + path


def _header(text: str) -> tuple[str, str]:
    """Parses `NAME: VALUE`; the text is not repeated in the error, as it may hold a key."""
    name, colon, value = text.partition(":")
    if not colon or not name.strip():
        raise argparse.ArgumentTypeError(texts.BAD_HEADER)
    return name.strip(), value.strip()
