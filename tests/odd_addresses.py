"""Texts that are addresses of the form `IP:PORT`, and such that are none."""

from __future__ import annotations

# A port in decimal digits that Python's `int` refuses to read.
LONG_PORT = "9" * 5000
ADDRESSES = {
    "127.0.0.1:80": True,
    "10.0.0.9:65535": True,
    "10.0.0.9:65536": False,
    "[10.0.0.9]:80": False,
    "[10.0.0.9:80": False,
    "10.0.0.9]:80": False,
    "10.0.0.9:99999": False,
    "10.0.0.9:0": False,
    "10.0.0.9:-1": False,
    "10.0.0.9:+80": False,
    "10.0.0.9:": False,
    "10.0.0.9": False,
    "10.0.0.9:8\u0661": False,
    f"10.0.0.9:{LONG_PORT}": False,
    f"{LONG_PORT}:80": False,
    "somewhere:80": False,
    "": False,
}
ODD_ADDRESSES = [address for address, is_good in ADDRESSES.items() if not is_good]
