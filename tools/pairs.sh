#!/usr/bin/env bash
# Plays days of a deployment with patches of the code and without, on the same seeds, and prints
# the differences in worth.
#
#   tools/pairs.sh BENCH SITE "DAY..." "SEED..." JOBS WORK PATCH...
#
# BENCH is the bench's program and WORK a folder for scratch clones of the committed code; the
# results stay there, as one report a play. A PATCH is a file for git apply. Plays charge no
# processor time, so that a seed repeats.
set -euo pipefail
if [ $# -lt 6 ]; then
  sed -n '2,9p' "$0" >&2
  exit 2
fi
bench=$1 site=$2 days=$3 seeds=$4 jobs=$5 work=$6
shift 6
repository=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$work"

prepare() { # NAME [PATCH]
  local at="$work/$1"
  if [ ! -d "$at" ]; then
    git clone -q "$repository" "$at"
    if [ -n "${2:-}" ]; then
      git -C "$at" apply "$2"
    fi
    (cd "$at" && "$bench" build >"$work/$1.build" 2>&1)
  fi
}

# Worth is a report's field G; a day with a broken rule or without a report counts as missing.
worth() { # REPORT
  sed -n 's/.*"G": *\(-\{0,1\}[0-9.]*\).*/\1/p' "$1" 2>/dev/null | head -n 1
}

names=(before)
prepare before
for patch in "$@"; do
  name=$(basename "$patch" .patch)
  names+=("$name")
  prepare "$name" "$(cd "$(dirname "$patch")" && pwd)/$(basename "$patch")"
done

for name in "${names[@]}"; do
  for day in $days; do
    for seed in $seeds; do
      report="$work/$name-$(basename "$site" .toml)-$day-$seed.json"
      [ -s "$report" ] || printf '%s\0' "cd '$work/$name' && '$bench' run '$site' '$day' --seed $seed --no-cpu --why 'Pairs: $name' --report '$report' >'$report.log' 2>&1"
    done
  done
done | xargs -0 -r -n 1 -P "$jobs" bash -c || true

for name in "${names[@]:1}"; do
  for day in $days; do
    for seed in $seeds; do
      tail="$(basename "$site" .toml)-$day-$seed.json"
      a=$(worth "$work/before-$tail") b=$(worth "$work/$name-$tail")
      if [ -n "$a" ] && [ -n "$b" ]; then
        printf '%s %s %s %s %s\n' "$name" "$day" "$a" "$b" "$(awk "BEGIN { print $b - $a }")"
      fi
    done
  done
done | sort -k1,1 -k2,2 -k5,5n | awk '
  function flush() {
    if (count == 0) return
    middle = int((count + 1) / 2)
    median = count % 2 ? diff[middle] : (diff[middle] + diff[middle + 1]) / 2
    printf "%-28s %-10s %2d seeds  before %.3f  after %.3f  median %+.3f  from %+.3f to %+.3f\n", name, day, count, before / count, after / count, median, diff[1], diff[count]
    count = before = after = 0
  }
  { if ($1 != name || $2 != day) flush(); name = $1; day = $2; count++; before += $3; after += $4; diff[count] = $5 }
  END { flush() }'
