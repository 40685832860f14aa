"""The scripts of `deploy/`, which are no package, as modules."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from types import ModuleType
from typing import Final

DEPLOY_FOLDER: Final = Path(__file__).parent.parent / "deploy"


def load_script(name: str) -> ModuleType:
    """Returns a script as a module; scripts that it imports are found as when it is run."""
    if str(DEPLOY_FOLDER) not in sys.path:
        sys.path.append(str(DEPLOY_FOLDER))
    spec = importlib.util.spec_from_file_location(name, DEPLOY_FOLDER / f"{name}.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    # Classes of a module are looked up there as they are made.
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
