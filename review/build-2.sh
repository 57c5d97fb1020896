#!/bin/sh
# Beside `build` of the deploy file, what the cases 6 to 10 start: their stand-ins need Python's standard library alone,
# the nodes of case 10 what the project declares in requirements-peers.txt.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/python -m pip install -q --disable-pip-version-check -r requirements.txt -r requirements-peers.txt
for folder in review/stand-2 review/6 review/7 review/8 review/9 review/10; do
    if test -d "$folder"; then .venv/bin/python -m compileall -q "$folder"; fi
done
