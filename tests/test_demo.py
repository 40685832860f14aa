"""Tests that the demo passes, fails when a step fails, and with --serve keeps running."""

from __future__ import annotations

import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from wigeonarch_fakes import demo
from wigeonarch_fakes.demo_steps import Result, Step, StepContext
from wigeonarch_fakes.processes import TIMEOUT_S, call, wait_for

COMMAND = (sys.executable, "-m", "wigeonarch_fakes.demo")


def test_demo_passes() -> None:
    done = subprocess.run(COMMAND, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "the endpoints' records show 1 run" in done.stdout
    assert "next answers from curry-blend@v2" in done.stdout
    assert "9 of 9 steps passed" in done.stdout


async def _return_failure(_context: StepContext) -> Result:
    return Result(False, "injected")


async def _raise_error(_context: StepContext) -> Result:
    raise ConnectionResetError("injected")


@pytest.mark.parametrize("run", [_return_failure, _raise_error])
def test_failed_step_fails_the_demo(
    run: object, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(demo, "STEPS", (Step("a step", run),))  # type: ignore[arg-type]
    assert demo.main([]) == demo.EXIT_FAILED
    assert "FAILED" in capsys.readouterr().out


def test_serve_keeps_the_deployment_running(tmp_path: Path) -> None:
    log = tmp_path / "demo.log"
    with log.open("wb") as out:
        process = subprocess.Popen((*COMMAND, "--serve"), stdout=out, stderr=subprocess.STDOUT)
    try:
        wait_for(
            lambda: "explain REQUEST-ID" in log.read_text(), "the example commands are printed"
        )
        match = re.search(r"curl -s http://(\S+)/v1/models", log.read_text())
        assert match is not None
        status, doc, _ = call("GET", f"{match.group(1)}/v1/models")
        assert status == 200
        assert "drafting/curry-blend" in {item["id"] for item in doc["data"]}
        process.send_signal(signal.SIGINT)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait(TIMEOUT_S)
