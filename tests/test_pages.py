"""docs/OPERATIONS.md explains each reason, metric and exit code, and links in the docs resolve."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from wigeonarch_core.outcomes import Reason
from wigeonarch_ctl import exits
from wigeonarch_entry.metrics import Metrics
from wigeonarch_gateway.metrics import Metrics as GatewayMetrics

ROOT = Path(__file__).parent.parent
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()
PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted((ROOT / "docs").rglob("*.md"))]


@pytest.mark.parametrize("reason", Reason)
def test_reason_is_explained(reason: Reason) -> None:
    assert re.search(rf"^\| `{reason}` \| .+ \| .+ \|$", OPERATIONS, re.MULTILINE)


@pytest.mark.parametrize("name", [family.name for family in Metrics().registry.collect()])
def test_metric_is_explained(name: str) -> None:
    assert f"`{name}" in OPERATIONS


@pytest.mark.parametrize("name", [family.name for family in GatewayMetrics().registry.collect()])
def test_gateway_metric_is_explained(name: str) -> None:
    assert f"| `{name}`" in OPERATIONS


@pytest.mark.parametrize("code", exits.MEANINGS)
def test_exit_code_is_explained(code: int) -> None:
    section = OPERATIONS.split("Exit codes of `wigeonctl`:")[1].split("\n\n")[0]
    assert re.search(rf"(^|\s){code} ", section)


@pytest.mark.parametrize("page", PAGES, ids=[page.name for page in PAGES])
def test_links_resolve(page: Path) -> None:
    for target in re.findall(r"\]\(([^)#]+)[^)]*\)", page.read_text()):
        assert (page.parent / target).exists(), target
