"""Imports the scripts of `deploy/`, which is not a package."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from types import ModuleType
from typing import Final

DEPLOY_FOLDER: Final = Path(__file__).parent.parent / "deploy"


def load_script(name: str) -> ModuleType:
    """Imports a script by name.

    The scripts that it imports are found in `deploy/`, as when it is run.
    """
    if str(DEPLOY_FOLDER) not in sys.path:
        sys.path.append(str(DEPLOY_FOLDER))
    spec = importlib.util.spec_from_file_location(name, DEPLOY_FOLDER / f"{name}.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    # `dataclass` looks up the module of a class here while the class is created.
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
