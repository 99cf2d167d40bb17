#!/bin/sh
# Compiles the stand-ins of the scripts; they need only the standard library of Python 3.11.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins.py ./*/case.py
