#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves its disruption out.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 5 118 python3 case.py
status=$?
[ -s record.txt ] || exit 2
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
