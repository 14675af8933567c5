#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec timeout --signal=TERM --kill-after=5 110 node review/3/case.mjs
