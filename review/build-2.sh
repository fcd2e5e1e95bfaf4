#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain JavaScript and need no build; this checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js [6-9]/*.js 10/*.js; do
    [ ! -e "$file" ] || node --check "$file"
done
