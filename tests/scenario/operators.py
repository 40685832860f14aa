"""Runs commands of `wigeonctl` in this process, which is much faster than starting a new one."""

from __future__ import annotations

import json
import shlex

from wigeonarch_ctl import cli, commands, exits, render
from wigeonarch_ctl.session import Session

from scenario.world import CommandResult


def run(server: str, line: str) -> CommandResult:
    """Runs one command line of `wigeonctl` against an instance."""
    words = ["--server", server, "--output", render.JSON, *shlex.split(line)]
    try:
        args = cli.make_parser().parse_args(words)
    except SystemExit:
        return CommandResult(exits.USAGE, [], f"wrong usage: {line}")
    printed: list[str] = []
    advice: list[str] = []
    console = commands.Console(
        output=render.JSON,
        show=render.make_printer(render.JSON, printed.append),
        write=printed.append,
        advise=advice.append,
    )
    session = Session(server, args.timeout)
    try:
        error = session.connect()
        if error is not None:
            return CommandResult(error.exit_code, [], error.message)
        code = args.run(console, session, args)
    finally:
        session.close()
    return CommandResult(code, [json.loads(text) for text in printed], " ".join(advice))
