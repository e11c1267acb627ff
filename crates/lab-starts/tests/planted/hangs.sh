#!/bin/sh
# Waits for something that never comes, whatever it is told.
trap '' TERM HUP
echo 'listening on 127.0.0.1:1' >&2
exec sleep 60 2>/dev/null
