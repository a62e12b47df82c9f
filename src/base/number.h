/* number: parses numbers that come from outside: settings, headers, messages
   of operators, command lines.

   Unlike strtol and strtod, the functions take the whole text and nothing but
   digits: no sign, blank, exponent, hexadecimal prefix, "inf" or "nan".  The
   result is unchanged unless NUMBER_OK is returned.  */

#ifndef BASE_NUMBER_H
#define BASE_NUMBER_H

#include <stddef.h>
#include <stdint.h>

typedef enum
{
  NUMBER_OK,
  NUMBER_MALFORMED,    /* not a number of the required form */
  NUMBER_OUT_OF_RANGE, /* greater than the maximum */
} number_result_t;

/* Parse TEXT, decimal digits, into *NUMBER, of at most MAX.  */
number_result_t number_parse_unsigned (uint64_t *number, const char *text,
                                       uint64_t max);

/* The same for the first LENGTH bytes of TEXT.  */
number_result_t number_parse_unsigned_span (uint64_t *number, const char *text,
                                            size_t length, uint64_t max);

/* Parse TEXT, exactly N_DIGITS hexadecimal digits of either case, at most 16,
   into *NUMBER.  */
number_result_t number_parse_hex (uint64_t *number, const char *text,
                                  size_t n_digits);

/* Parse the first LENGTH bytes of TEXT, decimal digits with or without a
   fraction, such as "2", "2.5" or ".5", into *NUMBER, of at most MAX.  */
number_result_t number_parse_decimal (double *number, const char *text,
                                      size_t length, double max);

#endif
