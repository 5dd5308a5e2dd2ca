#!/usr/bin/env bash
# A client's flow is reset because its port held a flow of a backend that has left.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/corianderbay ] && [ -x target/review-3/lab3 ] || exit 2
exec timeout -k 5 110 target/review-3/lab3 stale review/11
