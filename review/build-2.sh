#!/usr/bin/env bash
# Builds the stand-ins of the second review: they are Python without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review/standins_2
