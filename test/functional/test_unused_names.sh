#!/usr/bin/env bash
# Macros that nothing uses, and members of option structs that no program sets.
# Guards against a mechanism that is written but never switched on.
set -euo pipefail
SOURCE=$2
cd "$SOURCE"
mapfile -t files < <(git ls-files 'src/*.[ch]' 'platform/*.[ch]' | grep -v '/generated/')
# Modules that only tests use so far.
mapfile -t option_files < <(printf '%s\n' "${files[@]}" | grep -vE 'admission/admit\.h|placement/lookup_table\.h')
found=0

for name in $(cat "${files[@]}" | sed -nE 's/^#define ([A-Z][A-Z0-9_]*)( |\().*/\1/p' | sort -u); do
  if [ "$(cat "${files[@]}" | grep -ow "$name" | wc -l)" -eq 1 ]; then
    echo "the macro $name is not used" >&2
    found=1
  fi
done

# The data members of each struct NAME_options, one a line.
members() {
  awk '/^typedef struct [a-z_]*options$/ { inside = 1; next }
       /^}/ { inside = 0 }
       inside { print }' "${option_files[@]}" \
    | sed -nE 's/^  [a-z][A-Za-z0-9_ *]*[ *]([a-z_]+)(\[[A-Z_]+\])?;.*/\1/p' | sort -u
}

for member in $(members); do
  if ! grep -qE "[.>]$member(\[| = |\+\+|\)|$)" "${files[@]}"; then
    echo "no program sets the option '$member'" >&2
    found=1
  fi
done
exit $found
