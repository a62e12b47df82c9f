/* duration: parses durations written as a number and its unit, "ms" or "s",
   for example "1500ms" or "2.5s".  */

#ifndef BASE_DURATION_H
#define BASE_DURATION_H

#include <stdbool.h>

#include "base/time_defs.h"

/* Parse TEXT into *SPAN, in microseconds.  Returns false, and leaves *SPAN
   unchanged, if TEXT has another form or is longer than 1e9 seconds.  */
bool duration_parse (usec_t *span, const char *text);

#endif
