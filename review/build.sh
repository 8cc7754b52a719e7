#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node.js, which need no build; this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs */case.mjs; do
  node --check "$module"
done
