"""The entry instance: asyncio tasks that own the sockets and apply the decisions of the core."""
