"""An endpoint that left while some instances were without the store gets nothing from them.

Users saw requests at an endpoint 3.2 s after the store had accepted its leaving. The store had
turned some instances away and served the others. The endpoint left just after that; an instance
that came back found its entry missing and took it for one that had lapsed because the store was
away, which is back within two seconds of the store's return. So it went on sending there for 2.2 s
after its own first answer, which came up to 1.6 s after it could have had one. Evidence:
`store_back` at 23.85 s, five requests sent until 26.06 s, `endpoint_gone
reason=missing_after_outage` at 26.26 s, while half of its peers had answers of the store all along.
"""

from __future__ import annotations

import asyncio

from gateway_world import STORE, cut_from_store, until_true, world
from msgspec.structs import replace
from wigeonarch_gateway.options import StoreOptions

INSTANCES = 8
# Seconds without the store: longer than an entry takes to lapse, three heartbeats of 1.2 s.
OUTAGE = 3.7
# Seconds for which a missing entry may come back here: longer than a test waits for anything.
KEPT = 60.0


async def test_peers_tell_that_the_store_was_there() -> None:
    # Nothing else ends what is kept.
    await left_while_some_were_away(replace(STORE, return_time=KEPT, contact=2 * KEPT))


async def test_what_left_while_some_were_without_the_store_is_not_kept() -> None:
    await left_while_some_were_away(replace(STORE, return_time=KEPT))


async def left_while_some_were_away(store: StoreOptions) -> None:
    async with world(nodes=INSTANCES, store=store) as found:
        await until_true(lambda: all(node._endpoints.get("i-desk") for node in found.nodes))
        # One watches for all; who could follow another in its place would miss nothing.
        await until_true(lambda: sum(n._sharing.following != "" for n in found.nodes) == 7)
        names = found.nodes[0]._members.roles.delegates()
        cut = [node for node in found.nodes if node._opts.instance in names]
        others = [node for node in found.nodes if node not in cut]
        cut.append(others.pop())
        addresses = [cut_from_store(node) for node in cut]
        await until_true(lambda: all(node._store_state.is_away for node in cut))
        await asyncio.sleep(OUTAGE)
        await found.store.delete("servers", "i-desk")
        await until_true(lambda: all(n._endpoints.get("i-desk") is None for n in others))
        for node, address in zip(cut, addresses, strict=True):
            node._store._store._base = address  # type: ignore[attr-defined]
        await until_true(lambda: not any(node._store_state.is_away for node in cut))
        await until_true(lambda: all(node._endpoints.get("i-desk") is None for node in cut))
