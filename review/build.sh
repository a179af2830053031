#!/bin/sh
# Builds the stand-ins and the drivers of the scripts below review/. The program itself is
# built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/store ./review/server
for d in review/[1-5]; do
	if [ -f "$d/main.go" ]; then
		go build -o "review/bin/case$(basename "$d")" "./$d"
	fi
done
