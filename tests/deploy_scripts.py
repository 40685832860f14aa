"""The scripts of `deploy/`, which are no package, as modules."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from types import ModuleType
from typing import Final

FOLDER: Final = Path(__file__).parent.parent / "deploy"


def load(name: str) -> ModuleType:
    """Returns a script as a module; scripts that it imports are found as when it is run."""
    if str(FOLDER) not in sys.path:
        sys.path.append(str(FOLDER))
    spec = importlib.util.spec_from_file_location(name, FOLDER / f"{name}.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    # Classes of a module are looked up there as they are made.
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
