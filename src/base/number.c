#include "base/number.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEX_DIGITS_MAX = 16,     /* of a uint64_t */
  DECIMAL_BYTES_MAX = 320, /* longer ones are beyond any maximum or precision
                            */
};

static const char decimal_digits[] = "0123456789";
static const char hex_digits[] = "0123456789abcdefABCDEF";

number_result_t
number_parse_unsigned_span (uint64_t *number, const char *text, size_t length,
                            uint64_t max)
{
  uint64_t value = 0;
  bool is_too_great = false;
  for (size_t i = 0; i < length; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return NUMBER_MALFORMED;
      uint64_t digit = (uint64_t)(text[i] - '0');
      is_too_great = is_too_great || digit > max || value > (max - digit) / 10;
      value = 10 * value + digit;
    }
  if (length == 0)
    return NUMBER_MALFORMED;
  if (is_too_great)
    return NUMBER_OUT_OF_RANGE;
  *number = value;
  return NUMBER_OK;
}

number_result_t
number_parse_unsigned (uint64_t *number, const char *text, uint64_t max)
{
  return number_parse_unsigned_span (number, text, strlen (text), max);
}

number_result_t
number_parse_hex (uint64_t *number, const char *text, size_t n_digits)
{
  if (n_digits == 0 || n_digits > HEX_DIGITS_MAX || strlen (text) != n_digits
      || strspn (text, hex_digits) != n_digits)
    return NUMBER_MALFORMED;
  *number = strtoull (text, NULL, 16);
  return NUMBER_OK;
}

number_result_t
number_parse_decimal (double *number, const char *text, size_t length,
                      double max)
{
  char copy[DECIMAL_BYTES_MAX];
  if (length >= sizeof copy)
    return NUMBER_MALFORMED;
  memcpy (copy, text, length);
  copy[length] = '\0';
  size_t n_whole = strspn (copy, decimal_digits);
  size_t n_fraction = 0;
  size_t n_parsed = n_whole;
  if (copy[n_whole] == '.')
    {
      n_fraction = strspn (copy + n_whole + 1, decimal_digits);
      n_parsed += 1 + n_fraction;
    }
  if (n_whole + n_fraction == 0 || n_parsed != length)
    return NUMBER_MALFORMED;
  double value = strtod (copy, NULL);
  if (!(value <= max))
    return NUMBER_OUT_OF_RANGE;
  *number = value;
  return NUMBER_OK;
}
