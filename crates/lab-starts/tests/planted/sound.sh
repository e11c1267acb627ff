#!/bin/sh
# Behaves like a correct proxy: reports its address, ignores SIGHUP, and exits with status 0 on SIGTERM.
trap 'echo draining >&2; exit 0' TERM
trap '' HUP
echo 'listening on 127.0.0.1:1' >&2
while :; do
  sleep 0.05 2>/dev/null
done
