"""An endpoint that left while some instances had lost the store gets no requests from them.

Guards against requests that arrive at an endpoint up to 3.2 s after the store has accepted that it
leaves. The store refuses some instances and serves the others, and the endpoint leaves. An instance
that reaches the store again finds its entry missing and assumes that it lapsed because the store
was away, and will be back within two seconds of the store's return. So it keeps sending there for
2.2 s after its own first answer, which may come 1.6 s after it could have had one, although half of
its peers had answers of the store all along. The log shows `store_back`, then dispatches for 2.2 s,
then `endpoint_gone reason=missing_after_outage`.
"""

from __future__ import annotations

import asyncio

from gateway_world import STORE, cut_from_store, until_true, world
from msgspec.structs import replace
from wigeonarch_gateway.options import StoreOptions

INSTANCES = 8
# Seconds without the store: longer than the three heartbeats of 1.2 s after which an entry lapses.
OUTAGE = 3.7
# Seconds for which a missing entry may come back: longer than a test waits for any condition.
KEPT_FOR = 60.0


async def test_store_contacts_of_peers_show_that_the_store_was_available() -> None:
    # Nothing else ends the time for which a missing endpoint is kept.
    await check_leaving_in_a_partial_outage(
        replace(STORE, return_time=KEPT_FOR, contact=2 * KEPT_FOR)
    )


async def test_an_endpoint_that_left_during_a_partial_outage_is_not_kept() -> None:
    await check_leaving_in_a_partial_outage(replace(STORE, return_time=KEPT_FOR))


async def check_leaving_in_a_partial_outage(store: StoreOptions) -> None:
    async with world(nodes=INSTANCES, store=store) as found:
        await until_true(lambda: all(node._endpoints.get("i-desk") for node in found.nodes))
        # One instance watches for all, so an instance that can follow another would miss nothing.
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
