#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be loaded. They are plain modules for Node, need no compiler and use nothing but Node.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
