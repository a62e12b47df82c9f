/* duration: spans written as a number and its unit, "1500ms" or "2.5s".  */

#ifndef BASE_DURATION_H
#define BASE_DURATION_H

#include <stdbool.h>

#include "base/time_defs.h"

/* False where TEXT is anything else or negative.  */
bool duration_parse (usec_t *span, const char *text);

#endif
