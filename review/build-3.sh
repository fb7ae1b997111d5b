#!/usr/bin/env bash
# Builds what the scripts of this review start beside the project's own programs: the stand-ins,
# which need nothing but Python's own library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_3 review/1[1-5]
