/* name: parses and compares short identifiers.  */

#ifndef BASE_NAME_H
#define BASE_NAME_H

#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"
#include "base/name_defs.h"

/* Copy TEXT into *NAME and fill the rest with NULs.  Returns false with
   ERR_USAGE, and leaves *NAME unchanged, if TEXT is empty, is longer than
   NAME_BYTES - 1, or has a character other than an ASCII letter, a digit, '-',
   '_' or '.'.  */
bool name_parse (name_t *name, const char *text, err_t *err);

bool name_equal (const name_t *a, const name_t *b);

/* Returns the index of the first of the N names NAMES that is TEXT, or N.  */
size_t name_find (const name_t *names, size_t n, const char *text);

/* Compares A and B as strcmp does, for sorted tables.  */
int name_compare (const name_t *a, const name_t *b);

#endif
