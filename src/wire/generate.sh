#!/usr/bin/env bash
# Make the code of the .x files anew, in FOLDER or in generated/, which is
# committed: generate.sh [FOLDER].
set -euo pipefail
folder=$(realpath -m "${1:-$(dirname "$0")/generated}")
cd "$(dirname "$0")"
for file in *.x; do
  name=${file%.x}
  rm -f "$folder/$name.h" "$folder/${name}_xdr.c"
  rpcgen -C -h -o "$folder/$name.h" "$file"
  rpcgen -C -c -o "$folder/${name}_xdr.c" "$file"
  sed -i "s|#include \"$name.h\"|#include \"wire/generated/$name.h\"|" "$folder/${name}_xdr.c"
done
