#!/usr/bin/env bash
# Make src/wire/generated anew from the .x files; the output is committed.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.x; do
  name=${file%.x}
  rm -f "generated/$name.h" "generated/${name}_xdr.c"
  rpcgen -C -h -o "generated/$name.h" "$file"
  rpcgen -C -c -o "generated/${name}_xdr.c" "$file"
  sed -i "s|#include \"$name.h\"|#include \"wire/generated/$name.h\"|" "generated/${name}_xdr.c"
done
