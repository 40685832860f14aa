"""Entry point of `wigeonctl`: parses the command line, connects to a server and runs one command.

Each group of commands has a function that adds its parsers. The parser of a command sets `run` to
the function in `commands` that implements it.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Sequence
from importlib import metadata
from pathlib import Path
from typing import TYPE_CHECKING, Final

from wigeonarch_schema import wigeonarch_pb2 as pb

from wigeonarch_ctl import arguments, commands, exits, names, render, routecommand, texts
from wigeonarch_ctl.session import Session

if TYPE_CHECKING:
    Subparsers = argparse._SubParsersAction[argparse.ArgumentParser]

PROGRAM: Final = "wigeonctl"
DISTRIBUTION: Final = "wigeonarch-ctl"
SERVER_VARIABLE: Final = "WIGEONARCH_SERVER"
METRICS_VARIABLE: Final = "WIGEONARCH_METRICS"
DEFAULT_TIMEOUT_S: Final = 30.0
DEFAULT_WAIT_MS: Final = 5000
ABSENT_ENTRY_VERSION: Final = 0

SERVICE_KINDS: Final[dict[str, int]] = {
    "model": pb.SERVICE_KIND_MODEL,
    "plain": pb.SERVICE_KIND_PLAIN,
}

# Options, given in seconds, that set how long the server waits before it replies. The call's
# timeout must be longer, or the reply would be lost.
WAIT_OPTION_BY_COMMAND: Final = {commands.submit: "deadline"}
DEFAULT_WAIT_OPTION: Final = "wait"

# Adds the options for one kind of entry; the flag is True for `create` and False for `update`.
AddOptions = Callable[[argparse.ArgumentParser, bool], None]


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command.

    Args:
        argv: The arguments without the program's name; None for those of the process.

    Returns:
        One of the codes of `exits`.
    """
    parser = make_parser()
    args = parser.parse_args(argv)
    _check_arguments(parser, args)
    try:
        return _run_command(args)
    except KeyboardInterrupt:
        _print_advice(texts.INTERRUPTED)
        return exits.UNKNOWN


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description=texts.DESCRIPTION,
        epilog=_format_exit_codes(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_global_options(parser)
    groups = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for kind, (kind_name, add_options) in ENTRY_GROUPS.items():
        _add_entry_group(groups, kind, kind_name, add_options)
    _add_change(groups)
    _add_submit(groups)
    _add_lookup(groups)
    _add_explain(groups)
    _add_status(groups)
    _add_teams(groups)
    _add_route(groups)
    _add_drain(groups)
    return parser


def _run_command(args: argparse.Namespace) -> int:
    console = commands.Console(
        output=args.output,
        show=render.make_printer(args.output, _print_text),
        write=_print_text,
        advise=_print_advice,
    )
    if args.command == "teams":
        return commands.teams(console, args)
    if args.command == "route":
        return routecommand.run(console, args)
    if _reads_logs(args):
        return commands.explain_logs(console, args)
    session = Session(args.server, args.timeout)
    try:
        error = session.connect()
        if error is not None:
            _print_advice(error.message)
            return error.exit_code
        command: commands.Command = args.run
        return command(console, session, args)
    finally:
        session.close()


def _reads_logs(args: argparse.Namespace) -> bool:
    """Returns whether the command reads log files instead of calling a server."""
    return bool(getattr(args, "logs", None))


def _check_arguments(parser: argparse.ArgumentParser, args: argparse.Namespace) -> None:
    """Exits with a usage error if the arguments are incomplete or contradict each other."""
    if _reads_logs(args) or args.command == "teams":
        return
    if args.command == "route":
        routecommand.check_arguments(parser, args)
        return
    if not args.server:
        parser.error(texts.NO_SERVER)
    option = WAIT_OPTION_BY_COMMAND.get(args.run, DEFAULT_WAIT_OPTION)
    if (getattr(args, option, None) or 0) >= args.timeout * arguments.MS_PER_S:
        parser.error(texts.WAIT_TOO_LONG.format(option=option))
    if args.run is commands.lookup and not _identifies_one_request(args):
        parser.error(texts.LOOKUP_KEY)
    if args.run is commands.submit:
        _check_submit(parser, args)


def _check_submit(parser: argparse.ArgumentParser, args: argparse.Namespace) -> None:
    """Rejects the option that applies only to the other kind of request; it would be ignored."""
    inapplicable = _INAPPLICABLE_OPTIONS["operation" if args.prompt is None else "prompt"]
    if getattr(args, inapplicable.replace("-", "_")) is not None:
        other = "prompt" if args.prompt is None else "operation"
        parser.error(texts.INAPPLICABLE_OPTION.format(option=inapplicable, other=other))


# By kind of request: the option that doesn't apply to it.
_INAPPLICABLE_OPTIONS: Final = {"prompt": "body", "operation": "max-tokens"}


def _identifies_one_request(args: argparse.Namespace) -> bool:
    if args.request_id:
        return not (args.service or args.key)
    return bool(args.service and args.key)


def _format_exit_codes() -> str:
    lines = (f"  {code}  {meaning}" for code, meaning in exits.MEANINGS.items())
    return "\n".join((texts.EXIT_CODES, *lines))


def _print_text(text: str) -> None:
    sys.stdout.write(text)
    sys.stdout.flush()


def _print_advice(text: str) -> None:
    sys.stderr.write(f"{PROGRAM}: {text}\n")


def _add_global_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--version", action="version", version=f"{PROGRAM} {metadata.version(DISTRIBUTION)}"
    )
    parser.add_argument(
        "--server",
        metavar="HOST:PORT",
        default=os.environ.get(SERVER_VARIABLE, ""),
        help=f"any instance of the system (default: ${SERVER_VARIABLE})",
    )
    parser.add_argument(
        "--output", choices=render.OUTPUTS, default=render.TABLE, help="default: %(default)s"
    )
    parser.add_argument(
        "--timeout",
        type=arguments.timeout,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="for connecting, and for each call (default: %(default)g)",
    )


def _add_entry_group(
    groups: Subparsers, kind: int, kind_name: str, add_options: AddOptions
) -> None:
    """Adds the commands for one kind of entry."""
    group = groups.add_parser(
        kind_name, help=f"create, update, list, get or delete {kind_name} entries"
    )
    group.set_defaults(entry_kind=kind)
    verbs = group.add_subparsers(dest="verb", required=True, metavar="VERB")

    create_parser = _add_entry_command(
        verbs, "create", f"create one {kind_name}", kind, commands.create
    )
    add_options(create_parser, True)
    _add_mutation_options(create_parser)
    create_parser.set_defaults(expected_version=ABSENT_ENTRY_VERSION)

    update_parser = _add_entry_command(
        verbs, "update", f"change one {kind_name}", kind, commands.update
    )
    add_options(update_parser, False)
    _add_expected_version(update_parser)
    _add_mutation_options(update_parser)

    delete_parser = _add_entry_command(
        verbs, "delete", f"delete one {kind_name}", kind, commands.delete
    )
    _add_expected_version(delete_parser)
    _add_mutation_options(delete_parser)

    _add_entry_command(verbs, "get", f"show one {kind_name}", kind, commands.get)
    list_parser = verbs.add_parser("list", help=f"show every {kind_name}")
    list_parser.set_defaults(run=commands.list_entries)


def _add_entry_command(
    verbs: Subparsers, verb: str, summary: str, kind: int, run: commands.Command
) -> argparse.ArgumentParser:
    parser = verbs.add_parser(verb, help=summary)
    parser.add_argument("name", type=arguments.entry_name(kind), metavar=names.FORMS[kind])
    parser.set_defaults(run=run)
    return parser


def _add_expected_version(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--expected-version",
        type=arguments.whole_number(1, arguments.UINT64_MAX),
        required=True,
        metavar="N",
        help="version that `get` shows; the command is refused if the entry has another one",
    )


def _add_mutation_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--operation-id",
        default="",
        metavar="ID",
        help="identifies the change; a command repeated with the same id takes effect at most once",
    )
    _add_wait(parser)


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        type=arguments.seconds_as_ms,
        default=DEFAULT_WAIT_MS,
        metavar="SECONDS",
        help="how long to wait until the change is in force in every zone (default: "
        f"{DEFAULT_WAIT_MS / arguments.MS_PER_S:g})",
    )


def _add_service_options(parser: argparse.ArgumentParser, creating: bool) -> None:
    parser.set_defaults(kind=None)
    if creating:
        parser.add_argument(
            "--kind",
            type=_parse_service_kind,
            required=True,
            metavar="{model,plain}",
            help="kind of the service: model engines or plain endpoints",
        )
    parser.add_argument("--base-model", metavar="NAME", help="base model of a model service")
    parser.add_argument(
        "--deadline",
        type=arguments.seconds_as_ms,
        metavar="SECONDS",
        help="deadline of requests that set none",
    )
    parser.add_argument(
        "--fencing-endpoint",
        action="append",
        metavar="NAME",
        help="endpoint that checks fencing tokens, may be repeated; * for all, '' for none",
    )


def _parse_service_kind(text: str) -> int:
    if text not in SERVICE_KINDS:
        message = texts.BAD_SERVICE_KIND.format(text=text, kinds=", ".join(SERVICE_KINDS))
        raise argparse.ArgumentTypeError(message)
    return SERVICE_KINDS[text]


def _add_adapter_options(_: argparse.ArgumentParser, __: bool) -> None:
    """Adds nothing: an adapter has no attributes besides its name."""


def _add_version_options(parser: argparse.ArgumentParser, creating: bool) -> None:
    parser.add_argument(
        "--weights", required=creating, metavar="REFERENCE", help="weights in the weight store"
    )
    parser.add_argument(
        "--bytes",
        type=arguments.whole_number(0, arguments.UINT64_MAX),
        metavar="N",
        help="size of the weights in bytes",
    )


def _add_rule_options(parser: argparse.ArgumentParser, _: bool) -> None:
    parser.add_argument(
        "--split",
        action="append",
        type=arguments.version_split,
        required=True,
        metavar="VERSION=WEIGHT",
        help="a version's share of the traffic, may be repeated; replaces all splits of the rule",
    )


ENTRY_GROUPS: Final[dict[int, tuple[str, AddOptions]]] = {
    pb.ENTRY_KIND_SERVICE: ("service", _add_service_options),
    pb.ENTRY_KIND_ADAPTER: ("adapter", _add_adapter_options),
    pb.ENTRY_KIND_VERSION: ("version", _add_version_options),
    pb.ENTRY_KIND_RULE: ("rule", _add_rule_options),
}


def _add_change(groups: Subparsers) -> None:
    parser = groups.add_parser("change", help="show the status of a change")
    parser.add_argument("operation_id", metavar="OPERATION-ID")
    _add_wait(parser)
    parser.set_defaults(run=commands.change)


def _add_submit(groups: Subparsers) -> None:
    parser = groups.add_parser("submit", help="submit a request and show its outcome")
    parser.add_argument(
        "model", metavar="MODEL", help="SERVICE/ADAPTER[@VERSION], or a plain service's name"
    )
    work = parser.add_mutually_exclusive_group(required=True)
    work.add_argument(
        "--prompt", metavar="TEXT", help="prompt to generate from; - reads it from stdin"
    )
    work.add_argument("--operation", metavar="NAME", help="operation to call on a plain service")
    parser.add_argument("--body", metavar="JSON", help="body of the call; - reads it from stdin")
    parser.add_argument(
        "--max-tokens",
        type=arguments.whole_number(0, arguments.UINT32_MAX),
        metavar="N",
        help="most tokens to generate; 0 for the server's default",
    )
    parser.add_argument("--stream", action="store_true", help="print text while it is generated")
    _add_request_options(parser)
    parser.set_defaults(run=commands.submit)


def _add_request_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--non-idempotent", action="store_true", help="run the request at most once"
    )
    parser.add_argument(
        "--key",
        default="",
        metavar="KEY",
        help="idempotency key; generated for a non-idempotent request that has none",
    )
    parser.add_argument(
        "--deadline",
        type=arguments.seconds_as_ms,
        default=0,
        metavar="SECONDS",
        help="deadline of the request; 0 for the service's default",
    )
    parser.add_argument(
        "--priority",
        type=arguments.whole_number(arguments.INT32_MIN, arguments.INT32_MAX),
        default=0,
        metavar="N",
        help="requests of a higher priority are served first (default: 0)",
    )
    parser.add_argument("--caller", default="", metavar="NAME", help="name of the caller")


def _add_lookup(groups: Subparsers) -> None:
    parser = groups.add_parser("lookup", help="show the state of an earlier request")
    parser.add_argument("request_id", nargs="?", metavar="REQUEST-ID")
    parser.add_argument(
        "--service", metavar="NAME", help="service that the idempotency key belongs to"
    )
    parser.add_argument("--key", metavar="KEY", help="idempotency key of the request")
    parser.set_defaults(run=commands.lookup)


def _add_explain(groups: Subparsers) -> None:
    parser = groups.add_parser("explain", help="show the decisions about a request")
    parser.add_argument("request_id", metavar="REQUEST-ID")
    parser.add_argument(
        "--logs", type=Path, nargs="+", default=[], metavar="FILE", help=texts.LOGS_HELP
    )
    parser.set_defaults(run=commands.explain)


def _add_status(groups: Subparsers) -> None:
    parser = groups.add_parser("status", help="show instances, engines and configuration")
    parser.set_defaults(run=commands.status)


def _add_teams(groups: Subparsers) -> None:
    parser = groups.add_parser("teams", help="show how much of their quotas teams used")
    parser.add_argument(
        "--metrics", nargs="+", required=True, metavar="HOST:PORT", help=texts.METRICS_HELP
    )


def _add_route(groups: Subparsers) -> None:
    parser = groups.add_parser("route", help="explain where a request would go now, and why")
    routecommand.add_arguments(parser, os.environ.get(METRICS_VARIABLE, ""))


def _add_drain(groups: Subparsers) -> None:
    parser = groups.add_parser("drain", help="start the graceful shutdown of an instance")
    parser.add_argument("instance", metavar="INSTANCE")
    parser.set_defaults(run=commands.drain)
