"""Resolution of the model name in a request to the adapter version that serves it."""

from __future__ import annotations

import msgspec

from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.entries import EntryKey, EntryKind, Rule, Split
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.refs import AdapterVersion, ModelName


class Unresolved(msgspec.Struct, frozen=True):
    """Result for a model name that does not match the catalogue."""

    reason: Reason


def resolve(catalogue: Catalogue, model: ModelName, draw: float) -> AdapterVersion | Unresolved:
    """Resolves a model name to the adapter version that serves it.

    Args:
        catalogue: The catalogue in force.
        model: Model name from the request.
        draw: Random number in [0, 1) that chooses among the splits of a routing rule.
    """
    if catalogue.service(model.service) is None:
        return Unresolved(Reason.NO_SUCH_SERVICE)
    adapter = f"{model.service}/{model.adapter}"
    if catalogue.get(EntryKey(EntryKind.ADAPTER, adapter)) is None:
        return Unresolved(Reason.NO_SUCH_ADAPTER)
    name = model.version or _version_by_rule(catalogue, adapter, draw)
    if catalogue.get(EntryKey(EntryKind.VERSION, f"{adapter}@{name}")) is None:
        return Unresolved(Reason.NO_SUCH_VERSION)
    return AdapterVersion(model.service, model.adapter, name)


def _version_by_rule(catalogue: Catalogue, adapter: str, draw: float) -> str:
    stored = catalogue.get(EntryKey(EntryKind.RULE, adapter))
    if stored is None or not isinstance(stored.entry, Rule):
        return ""
    return _pick_version(stored.entry.splits, draw)


def _pick_version(splits: tuple[Split, ...], draw: float) -> str:
    point = draw * sum(split.weight for split in splits)
    for split in splits:
        point -= split.weight
        if point < 0:
            return split.version
    return splits[-1].version
