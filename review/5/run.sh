#!/usr/bin/env bash
# Runs the case; see claim.txt.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib exec timeout -k 5 118 python3 case.py
