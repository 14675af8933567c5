#!/usr/bin/env bash
# Builds the project's own stand-ins that the cases start: the store's, with the helpers beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b
