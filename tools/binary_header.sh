#!/bin/sh
# trefoilpaddle in one file: this header, then a compressed folder.
# The folder is unpacked once per version and user; later starts use it at once.
set -eu
umask 077
base="${TREFOILPADDLE_TMP:-${TMPDIR:-/tmp}}/trefoilpaddle-$(id -u)"
home="$base/@DIGEST@"
if [ ! -x "$home/trefoilpaddle" ]; then
    mkdir -p "$base"
    # A folder of another user in the shared temporary space could hold anything.
    if [ ! -O "$base" ] || [ -h "$base" ]; then
        echo "trefoilpaddle: $base belongs to someone else; set TREFOILPADDLE_TMP" >&2
        exit 1
    fi
    # Unpacked aside and renamed: a start that is cut off leaves no half folder
    # under the final name, and of two starts at once one wins whole.
    aside="$(mktemp -d "$base/unpacking.XXXXXX")"
    trap 'rm -rf "$aside"' EXIT
    tail -n +@N_LINES@ "$0" | tar -xzf - -C "$aside"
    mv -T "$aside" "$home" 2>/dev/null || [ -x "$home/trefoilpaddle" ]
    rm -rf "$aside"
    trap - EXIT
fi
[ -O "$home" ] || { echo "trefoilpaddle: $home belongs to someone else" >&2; exit 1; }
exec "$home/trefoilpaddle" "$@"
