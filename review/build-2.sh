#!/bin/bash
# The stand-ins of review/standins2.py need no build. Checks that they can be
# read.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import standins2'
