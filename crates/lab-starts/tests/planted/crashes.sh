#!/bin/sh
# Ends as it should not when it is told to end, and says nothing.
trap 'exit 3' TERM
trap '' HUP
echo 'listening on 127.0.0.1:1' >&2
while :; do
  sleep 0.05 2>/dev/null
done
