#!/bin/sh
# Builds the stand-ins that the scripts start. All are plain Python and use the standard library
# only, so that building them means to compile them. The project's own programs are built by the
# command in deploy/system.toml, which comes first.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common 1 2 3
