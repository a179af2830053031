#!/bin/bash
# Checks each specification exhaustively, and that each mutant of it is refuted.
# usage: model/check.sh [FOLDER FOR BUILD FILES]
set -euo pipefail
cd "$(dirname "$0")"
out=${1:-../out/model}
mkdir -p "$out"
out=$(cd "$out" && pwd)
source_dir=$(pwd)
failed=0

# check NAME FILE EXPECTED DEFINES PAN-FLAGS
check() {
	local name=$1 file=$2 expected=$3 defines=$4 flags=$5
	local dir="$out/$name"
	rm -rf "$dir" && mkdir -p "$dir" && cd "$dir"
	cp "$source_dir/$file" .
	spin $defines -a "$file" >spin.log 2>&1
	gcc -O2 -DVECTORSZ=2048 $(case "$flags" in *-a*) ;; *) echo -DSAFETY ;; esac) -DMEMLIM=4096 -DNFAIR=3 -o pan pan.c >gcc.log 2>&1
	timeout 110 ./pan -m1000000 $flags >pan.log 2>&1 || true
	local states errors verdict=holds
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log | head -1)
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log | head -1)
	if [ -z "$errors" ] || grep -qE "max search depth too small|out of memory|reached -DMEMLIM" pan.log; then
		verdict=incomplete
	elif [ "$errors" != 0 ]; then
		verdict=refuted
	fi
	local mark=ok
	[ "$verdict" = "$expected" ] || { mark=WRONG; failed=1; }
	printf '%-28s %-10s (expected %-8s) %10s states  %s\n' "$name" "$verdict" "$expected" "${states:-?}" "$mark"
	cd "$source_dir"
}

check generation            generation.pml holds   ""              "-E"
check generation-no-lineage generation.pml refuted "-DNO_LINEAGE"  "-E"
check generation-late-token generation.pml refuted "-DLATE_TOKEN"  "-E"
check claim                 claim.pml      holds   ""              "-E"
check claim-timeout         claim.pml      refuted "-DTIMEOUT"     "-E"
check claim-no-book         claim.pml      refuted "-DNO_BOOK"     "-E"
check claim-blind-retry     claim.pml      refuted "-DBLIND_RETRY" "-E"
check claim-no-era          claim.pml      refuted "-DNO_ERA"      "-E"
check manifest              manifest.pml   holds   ""              "-E -noltl"
check manifest-no-cas       manifest.pml   refuted "-DNO_CAS"      "-E -noltl"
check manifest-take-any     manifest.pml   refuted "-DTAKE_ANY"    "-E -noltl"
check manifest-settles      manifest.pml   holds   ""              "-a -f -N settles"
check manifest-no-assert    manifest.pml   refuted "-DNO_ASSERT"   "-a -f -N settles"
exit $failed
