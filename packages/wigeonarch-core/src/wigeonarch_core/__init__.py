"""Decision logic of the wigeonarch serving layer.

Nothing here opens a socket, reads a clock or draws a random number. Times (seconds on a monotonic
clock) and random sources are passed in, so that tests, the policy bench and production run the same
code.
"""
