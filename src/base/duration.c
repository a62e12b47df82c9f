#include "base/duration.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Longer durations are rejected as a typing error.  */
static const double duration_max_seconds = 1e9;

bool
duration_parse (usec_t *span, const char *text)
{
  char *end = NULL;
  double number = strtod (text, &end);
  if (end == text || !isfinite (number) || number < 0)
    return false;
  double unit;
  if (strcmp (end, "ms") == 0)
    unit = (double)USEC_PER_MSEC;
  else if (strcmp (end, "s") == 0)
    unit = (double)USEC_PER_SEC;
  else
    return false;
  if (number * unit > duration_max_seconds * (double)USEC_PER_SEC)
    return false;
  *span = (usec_t)llround (number * unit);
  return true;
}
