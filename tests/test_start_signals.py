"""Signals that come while a process is still starting."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from ports import free_port

# Holds the start up at an import until a line comes, by which time a signal has been sent.
HELD_UP = """
import runpy, sys

class Hold:
    def find_spec(self, name, path=None, target=None):
        if name == "uvloop":
            sys.meta_path.remove(self)
            print("importing", flush=True)
            sys.stdin.readline()
        return None

sys.meta_path.insert(0, Hold())
runpy.run_module("wigeonarch_platform", run_name="__main__", alter_sys=True)
"""


def settings_at(folder: Path) -> Path:
    """Writes the settings of a process whose store is not there."""
    pairs = {
        "node_name": "edge-0",
        "zone": "a",
        "ip": "127.0.0.10",
        "listen.front": f"127.0.0.10:{free_port('127.0.0.10')}",
        "listen.ready": f"127.0.0.10:{free_port('127.0.0.10')}",
        "internal_ports": f"{free_port('127.0.0.10')},{free_port('127.0.0.10')}",
        "platform.address": f"127.0.0.1:{free_port('127.0.0.1')}",
    }
    found = folder / "edge-0.conf"
    found.write_text("\n".join(f"{key}={value}" for key, value in pairs.items()))
    return found


async def test_a_reload_asked_for_during_the_start_is_done_and_ends_nothing(
    tmp_path: Path,
) -> None:
    env = {**os.environ, "WIGEONARCH_NODE_FILE": str(settings_at(tmp_path))}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        HELD_UP,
        env=env,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        async with asyncio.timeout(20.0):
            assert await process.stdout.readline() == b"importing\n"
            process.send_signal(signal.SIGHUP)
            process.stdin.write(b"\n")
            lines = []
            while (line := await process.stdout.readline()) and b"event=reloaded" not in line:
                lines.append(line)
            assert line, (process.returncode, lines)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
