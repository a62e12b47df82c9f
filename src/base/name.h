/* name: building and comparing names.  */

#ifndef BASE_NAME_H
#define BASE_NAME_H

#include <stdbool.h>

#include "base/error.h"
#include "base/name_defs.h"

/* Copy TEXT into *NAME.  Fails with ERR_USAGE where it is empty, too long or
   has a character other than a letter, digit, '-', '_' or '.'.  */
bool name_parse (name_t *name, const char *text, err_t *err);

bool name_equal (const name_t *a, const name_t *b);

/* Order as strcmp does, for tables that are kept sorted.  */
int name_compare (const name_t *a, const name_t *b);

#endif
