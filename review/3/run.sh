#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
standins=review/standins/target/release/review-standins
if [ ! -x target/release/aniseyoke ] || [ ! -x "$standins" ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build.sh"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
finish() {
  # The stand-ins end the proxy and remove this file; it is there only if they were ended first.
  if [ -s "$temporary/pid" ]; then
    kill -KILL "$(cat "$temporary/pid")" 2> /dev/null
  fi
  rm -rf "$temporary"
}
trap finish EXIT
timeout --kill-after=2 116 "$standins" stalled-upload "$here" "$temporary"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
