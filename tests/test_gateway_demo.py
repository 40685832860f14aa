"""All steps of the gateway demo succeed."""

from __future__ import annotations

import pytest
from gateway_demo import STEPS, run_steps


async def test_all_steps_succeed(capsys: pytest.CaptureFixture[str]) -> None:
    assert await run_steps(keep=False) == 0, capsys.readouterr().out
    assert capsys.readouterr().out.count("\n     ") == len(STEPS)
