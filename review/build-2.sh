#!/bin/sh
# Builds the stand-ins of review/4 to review/8: they use the standard library only.
set -eu
cd "$(dirname "$0")"
exec python3 -S -m compileall -q -f common-2
