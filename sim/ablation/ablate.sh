#!/usr/bin/env bash
# Ablation study of the serving tier: switches its mechanisms off, one at a time, each in a scratch copy of the sources, and plays the
# same day with each copy. The product has no switch for it: a mechanism is switched off by an edit of its source that stands below.
#
#   ablate.sh BENCH SITE DAY DIR [MECHANISM...]
#
# BENCH is the bench program, SITE a site file, DAY a day of it (a name, "quick", or a file), DIR a folder for the copies and the
# bench's output. Without MECHANISM all are switched off in turn. Environment variables: SEED of the day, JOBS (copies played at
# once, 4 by default) and OPTIONS of the bench's run. It prints a line for each mechanism: its name, worth, share served, share
# failed.
set -euo pipefail
bench=$(realpath "$1") site=$(realpath "$2") day=$3 dir=$4
shift 4
root=$(git rev-parse --show-toplevel)
[ ! -f "$day" ] || day=$(realpath "$day")

# name | file | sed expression
mechanisms='
none|tier/balance/choose.go|
near-bonus|tier/balance/choose.go|s/localZoneBonus      = 0.10/localZoneBonus      = 0.0/
warm-bonus|tier/balance/choose.go|s/idleConnectionBonus = 0.05/idleConnectionBonus = 0.0/
sticky|tier/balance/choose.go|s/affinityBonus   = 0.35/affinityBonus   = 0.0/
failure-rate|tier/balance/choose.go|s/errorRatePenalty = 2.0/errorRatePenalty = 0.0/
pause|tier/balance/host.go|s/maxBackoff         = 5 \* time.Second/maxBackoff         = 0/
stall-share|tier/balance/choose.go|s/stallPenalty     = 1.0/stallPenalty     = 0.0/
reported-load|tier/balance/host.go|s/reportedLoadTTL = 400 \* time.Millisecond/reportedLoadTTL = 0/
hung-given-up|tier/hangdetect/estimator.go|s/budgetPerResponse = 0.1/budgetPerResponse = 0.0/
fleet-verdicts|tier/outlier/detector.go|s/minExcessFailures = 2.5/minExcessFailures = 1e9/
retry-after|tier/proxy/respond.go|s/delay := retryafter.Delay(remaining, expected, rand.Float64())/delay := retryafter.Delay(remaining, 200*time.Millisecond, 0*rand.Float64()*float64(expected))/
first-view-wait|tier/proxy/outages.go|s/maxRoutesWait     = 800 \* time.Millisecond/maxRoutesWait     = 0/
hedged-dials|tier/rpc/dial.go|s/hedgeDelay = 80 \* time.Millisecond/hedgeDelay = time.Hour/
held-messages|tier/rpc/pending.go|s/maxPendingMessages = 256/maxPendingMessages = 0/
silent-connections|tier/rpc/call.go|s/unresponsiveTimeout = 400 \* time.Millisecond/unresponsiveTimeout = time.Hour/
follow-shard|tier/proxy/programs.go|s/^\tgo c.cancelOnPrimaryChange(.*$//
lost-disk-early|tier/placement/cluster.go|s/return m.Alive \&\& !m.Unconfirmed/return m.Alive/
lean-end|tier/proxy/settle.go|s/Host: host, Ticket: t.ticket,/Host: host, Ticket: t.ticket, Input: t.body,/
connection-pool|tier/upstream/pool.go|s/defaultIdleTimeout = 4 \* time.Second/defaultIdleTimeout = 0/
'

play() { # NAME FILE EXPRESSION
  local copy=$dir/$1 seed=()
  rm -rf "$copy"
  git -C "$root" worktree add -q --force --detach "$copy" HEAD
  if [ -n "$3" ]; then
    sed -i "$3" "$copy/$2"
    ! git -C "$copy" diff --quiet || { echo "$1: its source has changed; adapt the expression in sim/ablation/ablate.sh" >&2; return 1; }
  fi
  [ -z "${SEED:-}" ] || seed=(--seed "$SEED")
  local why="ablation: $1 off, day $(basename "$day")"
  if [ "$day" = quick ]; then
    (cd "$copy" && "$bench" score "$site" --quick --jobs 1 --why "$why") >"$dir/$1.txt" 2>&1 || true
    printf '%s\t%s\n' "$1" "$(grep -E '^[a-z]+-[0-9]+ ' "$dir/$1.txt" | awk '{printf "%s %s  ", $1, $4}')"
  else
    (cd "$copy" && "$bench" run "$site" "$day" "${seed[@]}" ${OPTIONS:-} --jobs 1 --why "$why") >"$dir/$1.txt" 2>&1 || true
    printf '%s\t%s\n' "$1" "$(grep -E '^[a-z0-9-]+ +[0-9]+/[0-9]+' "$dir/$1.txt" | head -1 | awk '{print $4, $5, $7}')"
  fi
  git -C "$root" worktree remove --force "$copy"
}

mkdir -p "$dir"
while IFS='|' read -r name file expression; do
  [ -n "$name" ] || continue
  [ $# -eq 0 ] || [[ " $* " == *" $name "* ]] || continue
  while [ "$(jobs -rp | wc -l)" -ge "${JOBS:-4}" ]; do wait -n; done
  play "$name" "$file" "$expression" &
  sleep 0.5
done <<<"$mechanisms"
wait
