"""The published schema: the generated code matches the proto, and each element has a comment."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from importlib.resources import files
from pathlib import Path

import pytest
from google.protobuf.descriptor_pb2 import FileDescriptorProto, FileDescriptorSet

PACKAGE = Path(str(files("wigeonarch_schema")))
SOURCE = PACKAGE.parent
PROTO = PACKAGE / "wigeonarch.proto"
GENERATED = sorted(path.name for path in PACKAGE.glob("wigeonarch_pb2*"))
TOOLS = Path(sys.executable).parent


def protoc(*args: str) -> None:
    command = [sys.executable, "-m", "grpc_tools.protoc", "-I", str(SOURCE), *args, str(PROTO)]
    subprocess.run(command, check=True, timeout=60)


@pytest.fixture(scope="module")
def regenerated(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Generates code like `make schema`, into another folder."""
    folder = tmp_path_factory.mktemp("schema")
    protoc(
        f"--python_out={folder}",
        f"--grpc_python_out={folder}",
        f"--plugin=protoc-gen-mypy={TOOLS / 'protoc-gen-mypy'}",
        f"--plugin=protoc-gen-mypy_grpc={TOOLS / 'protoc-gen-mypy_grpc'}",
        f"--mypy_out=quiet:{folder}",
        f"--mypy_grpc_out=quiet:{folder}",
    )
    return folder / PACKAGE.name


def test_all_generated_files_are_committed(regenerated: Path) -> None:
    assert sorted(path.name for path in regenerated.iterdir()) == GENERATED


@pytest.mark.parametrize("name", GENERATED)
def test_generated_code_agrees_with_the_proto(regenerated: Path, name: str) -> None:
    assert (regenerated / name).read_text() == (PACKAGE / name).read_text(), "run make schema"


def descriptor_of(folder: Path) -> FileDescriptorProto:
    path = folder / "descriptor"
    protoc("--include_source_info", f"--descriptor_set_out={path}")
    return FileDescriptorSet.FromString(path.read_bytes()).file[0]


def undocumented(proto: FileDescriptorProto) -> Iterator[str]:
    """Yields the elements without a comment, as paths of field numbers, with their line."""
    # Messages, enums and services; in them fields, values and methods.
    kinds = {(4,), (5,), (6,), (4, 2), (5, 2), (6, 2)}
    for location in proto.source_code_info.location:
        path = tuple(location.path)
        if path[::2] in kinds and len(path) % 2 == 0 and not location.leading_comments.strip():
            yield f"{path} at line {location.span[0] + 1}"


def test_every_element_is_documented(tmp_path: Path) -> None:
    proto = descriptor_of(tmp_path)
    assert len(proto.source_code_info.location) > 300
    assert list(undocumented(proto)) == []


def test_elements_without_a_comment_are_found(tmp_path: Path) -> None:
    proto = descriptor_of(tmp_path)
    for location in proto.source_code_info.location:
        location.leading_comments = ""
    assert len(list(undocumented(proto))) > 100
