#!/bin/sh
cd "$(dirname "$0")/../.." && exec timeout 120 node review/15/main.mjs
