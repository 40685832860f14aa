"""One odd entry in a list neither ends an instance that reads the list nor hides the others."""

from __future__ import annotations

import json
from typing import Any

import pytest
from aiohttp import web
from odd_addresses import LONG_PORT, ODD_ADDRESSES
from wigeonarch_core.listing import Listed
from wigeonarch_core.serving_right import PlatformReachability
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import PlatformClient, Unavailable

VALID = {"name": "i-1", "address": "127.0.0.1:80", "zone": "a", "role": "engine"}
NESTED = "[" * 1200 + "]" * 1200
# Entries of another writer, as JSON.
ODD_ENTRIES = {
    "deep_unknown_field": json.dumps(VALID)[:-1] + f', "labels": {NESTED}}}',
    "deep": NESTED,
    "long_number": json.dumps(VALID)[:-1] + ', "labels": ' + "9" * 25 + "}",
    "longer_number": json.dumps(VALID)[:-1] + ', "labels": ' + LONG_PORT + "}",
    "lone_surrogate": '{"name": "i-\\udcff", "address": "127.0.0.1:80", "zone": "a"}',
    "number_for_text": json.dumps({**VALID, "zone": 10**15}),
    "no_address": json.dumps({"name": "i-2", "zone": "a", "role": "engine"}),
    "unknown_role": json.dumps({**VALID, "role": "observer"}),
    "null": "null",
    "text": '"engine"',
    **{
        f"address_{number}": json.dumps({**VALID, "name": "i-2", "address": address})
        for number, address in enumerate(ODD_ADDRESSES)
    },
}


@pytest.mark.parametrize("odd", ODD_ENTRIES)
async def test_an_odd_entry_in_the_platforms_list_hides_no_other(odd: str) -> None:
    others = [{**VALID, "name": name} for name in ("i-3", "i-4")]
    first, second = (json.dumps(one) for one in others)
    text = f'{{"items": [{first}, {ODD_ENTRIES[odd]}, {second}]}}'
    found = await _list(text)
    assert not isinstance(found, Unavailable)
    names = [one.name for one in found]
    assert [name for name in names if name in ("i-3", "i-4")] == ["i-3", "i-4"]
    assert "i-2" not in names


@pytest.mark.parametrize("text", ["", "[]", "null", '{"items": 5}', "{}", NESTED, '{"items": ['])
async def test_a_list_that_is_none_counts_as_no_answer(text: str) -> None:
    assert isinstance(await _list(text), Unavailable)


async def _list(text: str) -> tuple[Listed, ...] | Unavailable:
    """Returns what an entry instance reads of the platform's list."""

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(text=text, content_type="application/json")

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    reachability = PlatformReachability(2.0, 3.5)
    metrics: Any = Metrics()
    client = PlatformClient((f"{host}:{port}",), "i", "z", 5.0, metrics, reachability)
    try:
        return await client.list_instances()
    finally:
        await client.close()
        await runner.cleanup()
