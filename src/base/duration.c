#include "base/duration.h"

#include <math.h>
#include <string.h>

#include "base/number.h"

/* Longer durations are rejected as a typing error.  */
static const double duration_max_seconds = 1e9;

bool
duration_parse (usec_t *span, const char *text)
{
  static const char number_bytes[] = "0123456789.";
  size_t length = strspn (text, number_bytes);
  const char *unit = text + length;
  double number;
  double factor;
  if (strcmp (unit, "ms") == 0)
    factor = (double)USEC_PER_MSEC;
  else if (strcmp (unit, "s") == 0)
    factor = (double)USEC_PER_SEC;
  else
    return false;
  double max = duration_max_seconds * (double)USEC_PER_SEC / factor;
  if (number_parse_decimal (&number, text, length, max) != NUMBER_OK)
    return false;
  *span = (usec_t)llround (number * factor);
  return true;
}
