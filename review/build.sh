#!/bin/sh
# The stand-ins are Python with the standard library only; this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review
