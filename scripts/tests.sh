#!/bin/sh
# Prints the test, fuzz, benchmark and example functions of the repository, one a line: the package's folder, then the name. Lists
# made before and after a change show that no test was lost. Files that git doesn't track yet are listed too.
# Usage: scripts/tests.sh [REPOSITORY]
set -eu
export LC_ALL=C
cd "${1:-$(dirname "$0")/..}"
git ls-files --cached --others --exclude-standard -- '*_test.go' | sort -u | while read -r file; do
	[ -f "$file" ] || continue # deleted, and the deletion not yet committed
	sed -nE "s|^func ((Test\|Fuzz\|Benchmark)([^a-z(][A-Za-z0-9_]*)?\|Example([^a-z(][A-Za-z0-9_]*)?)\(.*|$(dirname "$file") \1|p" "$file"
done | grep -v ' TestMain$' | sort
