#!/bin/sh
# Spins in a busy loop; exits with status 0 on SIGTERM.
trap 'echo draining >&2; exit 0' TERM
trap '' HUP
echo 'listening on 127.0.0.1:1' >&2
while :; do :; done
