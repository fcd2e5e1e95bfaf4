#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript in lib/, so there is nothing to compile; checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/*.js; do
    node --check "$file"
done
