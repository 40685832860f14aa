#!/bin/sh
# Puts the libraries and the packages that a gateway runs under target/deps, from a clean checkout.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e target/deps/.libraries ] || [ deploy/requirements.txt -nt target/deps/.libraries ]; then
    python3 -m pip install --quiet --disable-pip-version-check --upgrade \
        --target target/deps -r deploy/requirements.txt
    touch target/deps/.libraries
fi
for package in packages/wigeonarch-core/src/wigeonarch_core \
    packages/wigeonarch-runtime/src/wigeonarch_runtime \
    packages/wigeonarch-gateway/src/wigeonarch_gateway \
    platform/wigeonarch_platform; do
    rm -rf "target/deps/$(basename "$package")"
    cp -R "$package" target/deps/
done
python3 -m compileall -q target/deps
