"""Entry instances that pass requests on by routes and place adapters on engines.

Everything outside the process is met through the types of `ports`; which words stand on the wire is
told by the implementation of those ports that the process was started with.
"""
