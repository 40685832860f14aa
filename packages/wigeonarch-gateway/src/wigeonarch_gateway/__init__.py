"""Gateway instances that forward requests by routes and place adapters on engines.

The package reaches everything outside the process through the types in `ports`. The implementation
of those types that the process is started with determines names and formats on the wire.
"""
