#!/usr/bin/env bash
# Builds the stand-ins of the cases: they need Python alone, so there is nothing to install or fetch.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
