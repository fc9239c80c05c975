#!/usr/bin/env bash
# The stand-ins need nothing but the Python of the deploy file; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py */case.py
