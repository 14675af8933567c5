#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Writes record.txt beside it.
cd "$(dirname "$0")/../.." || exit 2
timeout --signal=TERM --kill-after=5 110 node review/7/case.mjs
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
