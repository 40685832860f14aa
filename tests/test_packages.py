"""Each package imports only packages below it, none beside or above it."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PREFIX = "wigeonarch_"
MAY_IMPORT: dict[str, set[str]] = {
    "core": set(),
    "runtime": set(),
    "schema": set(),
    "entry": {"core", "runtime", "schema"},
    "gateway": {"core", "runtime"},
    "platform": {"core", "gateway", "runtime"},
    "ctl": {"schema"},
    "fakes": {"core", "ctl", "entry", "runtime", "schema"},
}


def source_folder(package: str) -> Path:
    if package == "platform":
        return ROOT / "platform" / f"{PREFIX}{package}"
    return ROOT / "packages" / f"wigeonarch-{package}" / "src" / f"{PREFIX}{package}"


def imported_modules(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module


def imported_packages(package: str) -> set[str]:
    files = sorted(source_folder(package).rglob("*.py"))
    assert files
    names = {name for file in files for name in imported_modules(ast.parse(file.read_text()))}
    roots = {name.partition(".")[0] for name in names}
    return {root.removeprefix(PREFIX) for root in roots if root.startswith(PREFIX)} - {package}


@pytest.mark.parametrize("package", sorted(MAY_IMPORT))
def test_a_package_imports_only_its_dependencies(package: str) -> None:
    assert imported_packages(package) <= MAY_IMPORT[package]


def test_all_packages_are_listed() -> None:
    names = {path.parent.name for path in ROOT.glob("packages/*/pyproject.toml")}
    assert {name.removeprefix("wigeonarch-") for name in names} | {"platform"} == set(MAY_IMPORT)
