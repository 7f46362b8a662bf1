#!/bin/sh
# Prints the test, fuzz, benchmark and example functions of the repository, one per line: the package's folder, then the name.
# Comparing the lists from before and after a change shows whether a test was lost. Files that git doesn't track yet are included.
# Usage: scripts/tests.sh [REPOSITORY]
set -eu
export LC_ALL=C
cd "${1:-$(dirname "$0")/..}"
git ls-files --cached --others --exclude-standard -- '*_test.go' | sort -u | while read -r file; do
	[ -f "$file" ] || continue # skip a deleted file whose deletion is not committed yet
	sed -nE "s|^func ((Test\|Fuzz\|Benchmark)([^a-z(][A-Za-z0-9_]*)?\|Example([^a-z(][A-Za-z0-9_]*)?)\(.*|$(dirname "$file") \1|p" "$file"
done | grep -v ' TestMain$' | sort
