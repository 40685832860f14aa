"""Command line of the `wigeonarch` executable."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from importlib.metadata import version
from pathlib import Path
from typing import Final

import uvloop
from wigeonarch_core.options import Options
from wigeonarch_core.settings import BadSettings, decode_options
from wigeonarch_runtime import logs

from wigeonarch_entry.node import Node

EXIT_OK: Final = 0
EXIT_SETTINGS: Final = 2
SERVE_HELP: Final = "serve until SIGTERM or SIGINT, then finish all requests in progress and exit 0"
CHECK_HELP: Final = "check a settings file; exit 0 if it can be used, 2 if not"
EPILOG: Final = """exit codes:
  0  drained and stopped, or the settings can be used
  1  a broken invariant, or a socket that cannot be opened; the log says which
  2  wrong usage, or settings that cannot be used; no socket was opened"""


def main(argv: list[str] | None = None) -> int:
    """Runs the command given in `argv` and returns the exit code."""
    args = _make_parser().parse_args(argv)
    opts = _read_settings(args.settings)
    if isinstance(opts, BadSettings):
        print(f"{args.settings}: {opts.path}: {opts.message}", file=sys.stderr)
        return EXIT_SETTINGS
    if args.command == "check-settings":
        print(f"{args.settings}: ok")
        return EXIT_OK
    logs.set_up(opts.log_level, instance=opts.instance, zone=opts.zone)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(opts))
    return EXIT_OK


async def _serve(opts: Options) -> None:
    node = Node(opts)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.drain)
    await node.start()
    await node.serve()


def _read_settings(path: Path) -> Options | BadSettings:
    try:
        text = path.read_bytes()
    except OSError as exc:
        return BadSettings("$", exc.strerror or repr(exc))
    return decode_options(text)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="wigeonarch",
        description="An entry instance of the wigeonarch serving layer.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=version("wigeonarch-entry"))
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help=SERVE_HELP, description=SERVE_HELP)
    serve.add_argument("--settings", type=Path, required=True, metavar="FILE")
    check = commands.add_parser("check-settings", help=CHECK_HELP, description=CHECK_HELP)
    check.add_argument("settings", type=Path, metavar="FILE")
    return parser


if __name__ == "__main__":
    sys.exit(main())
