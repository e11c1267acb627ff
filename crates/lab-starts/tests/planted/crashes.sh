#!/bin/sh
# Exits with status 3 on SIGTERM, without logging that it drains.
trap 'exit 3' TERM
trap '' HUP
echo 'listening on 127.0.0.1:1' >&2
while :; do
  sleep 0.05 2>/dev/null
done
