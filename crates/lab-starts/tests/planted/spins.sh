#!/bin/sh
# Uses a processor without getting anywhere; ends when it is told to.
trap 'echo draining >&2; exit 0' TERM
trap '' HUP
echo 'listening on 127.0.0.1:1' >&2
while :; do :; done
