"""The published schema of wigeonarch and the code generated from it.

`wigeonarch.proto` is the source; `wigeonarch_pb2` (messages) and `wigeonarch_pb2_grpc` (clients and
servers) are generated from it by `make schema` and committed, so that building needs no generator.
"""
