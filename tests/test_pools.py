"""Kept connections: the one used last is taken first, and one that may not be used now is kept."""

from __future__ import annotations

import asyncio

from wigeonarch_gateway.pools import ConnectionPools


async def _hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()


async def test_a_connection_that_may_not_be_used_now_is_kept_for_others() -> None:
    server = await asyncio.start_server(_hold, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    address = f"{host}:{port}"
    pools = ConnectionPools(asyncio.get_running_loop(), "")
    async with server:
        opened = [await pools.acquire_at("i-1", address) for _ in range(3)]
        first, second, third = (conn for conn in opened if conn is not None)
        assert len({conn.number for conn in (first, second, third)}) == 3
        for conn in (first, second, third):
            pools.release_unused("i-1", conn)
        used = {third.number}
        taken = await pools.acquire_at("i-1", address, lambda conn: conn.number not in used)
        assert taken is second
        second.close()
        pools.release_unused("i-1", second)
        assert await pools.acquire_at("i-1", address) is third
        pools.release_unused("i-1", third)
        fresh = await pools.acquire_at("i-1", address, lambda conn: False)
        assert fresh is not None
        assert fresh.number not in {first.number, second.number, third.number}
        fresh.close()
        assert await pools.acquire_at("i-1", address) is third
        assert await pools.acquire_at("i-1", address) is first
        first.close()
        third.close()
