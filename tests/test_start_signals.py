"""Signals that arrive while a process is still starting."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from ports import free_port

# Blocks the start at an import until it reads a line, by which time the test has sent a signal.
BLOCKED_START = """
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


def write_settings(folder: Path) -> Path:
    """Writes the settings of a process whose store is unreachable."""
    pairs = {
        "node_name": "edge-0",
        "zone": "a",
        "ip": "127.0.0.10",
        "listen.front": f"127.0.0.10:{free_port('127.0.0.10')}",
        "listen.ready": f"127.0.0.10:{free_port('127.0.0.10')}",
        "internal_ports": f"{free_port('127.0.0.10')},{free_port('127.0.0.10')}",
        "platform.address": f"127.0.0.1:{free_port('127.0.0.1')}",
    }
    path = folder / "edge-0.conf"
    path.write_text("\n".join(f"{key}={value}" for key, value in pairs.items()))
    return path


async def test_sighup_during_the_start_reloads_and_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    env = {**os.environ, "WIGEONARCH_NODE_FILE": str(write_settings(tmp_path))}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        BLOCKED_START,
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
