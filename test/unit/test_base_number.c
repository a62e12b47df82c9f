/* Unit tests of the parsers of numbers and durations: guard against text that
   strtol or strtod would read as a number, or as another one than it says.  */

#include <glib.h>
#include <string.h>

#include "base/duration.h"
#include "base/number.h"

static void
test_unsigned (void)
{
  static const char *const malformed[]
      = { "", "-1", "+1", " 1", "1 ", "0x1", "1.0", "1e3", "one", "1\n" };
  uint64_t number = 7;
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    g_assert_cmpint (number_parse_unsigned (&number, malformed[i], UINT64_MAX),
                     ==, NUMBER_MALFORMED);
  g_assert_cmpint (
      number_parse_unsigned (&number, "18446744073709551616", UINT64_MAX), ==,
      NUMBER_OUT_OF_RANGE);
  g_assert_cmpint (number_parse_unsigned (
                       &number, "99999999999999999999999999", UINT64_MAX),
                   ==, NUMBER_OUT_OF_RANGE);
  g_assert_cmpint (number_parse_unsigned (&number, "101", 100), ==,
                   NUMBER_OUT_OF_RANGE);
  g_assert_cmpint (number_parse_unsigned (&number, "9", 8), ==,
                   NUMBER_OUT_OF_RANGE);
  g_assert_cmpuint (number, ==, 7);
  g_assert_cmpint (number_parse_unsigned (&number, "0100", 100), ==,
                   NUMBER_OK);
  g_assert_cmpuint (number, ==, 100);
  g_assert_cmpint (
      number_parse_unsigned (&number, "18446744073709551615", UINT64_MAX), ==,
      NUMBER_OK);
  g_assert_true (number == UINT64_MAX);
}

static void
test_hex (void)
{
  static const char *const malformed[]
      = { "", "-001", "+001", " 001", "0x01", "001", "00001", "00g1" };
  uint64_t number = 7;
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    g_assert_cmpint (number_parse_hex (&number, malformed[i], 4), ==,
                     NUMBER_MALFORMED);
  g_assert_cmpint (number_parse_hex (&number, "", 0), ==, NUMBER_MALFORMED);
  g_assert_cmpint (number_parse_hex (&number, "00000000000000001", 17), ==,
                   NUMBER_MALFORMED);
  g_assert_cmpuint (number, ==, 7);
  g_assert_cmpint (number_parse_hex (&number, "0aF1", 4), ==, NUMBER_OK);
  g_assert_cmpuint (number, ==, 0xaf1);
  g_assert_cmpint (number_parse_hex (&number, "ffffffffffffffff", 16), ==,
                   NUMBER_OK);
  g_assert_true (number == UINT64_MAX);
}

static number_result_t
parse_decimal (double *number, const char *text, double max)
{
  return number_parse_decimal (number, text, strlen (text), max);
}

static void
test_decimal (void)
{
  static const char *const malformed[]
      = { "",    "-1",  "+1",       " 1",    "1 ",  "0x10", "1e3",
          "inf", "nan", "infinity", "1.2.3", "1,5", "." };
  double number = 7;
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    g_assert_cmpint (parse_decimal (&number, malformed[i], 1e9), ==,
                     NUMBER_MALFORMED);
  g_assert_cmpint (parse_decimal (&number, "100.5", 100), ==,
                   NUMBER_OUT_OF_RANGE);
  g_autofree char *digits = g_strnfill (310, '9');
  g_assert_cmpint (parse_decimal (&number, digits, 1e9), ==,
                   NUMBER_OUT_OF_RANGE);
  g_autofree char *endless = g_strnfill (100000, '9');
  g_assert_cmpint (parse_decimal (&number, endless, 1e9), ==,
                   NUMBER_MALFORMED);
  g_assert_cmpfloat (number, ==, 7);
  g_assert_cmpint (parse_decimal (&number, "2.5", 100), ==, NUMBER_OK);
  g_assert_cmpfloat (number, ==, 2.5);
  g_assert_cmpint (parse_decimal (&number, "2.", 100), ==, NUMBER_OK);
  g_assert_cmpint (parse_decimal (&number, ".5", 100), ==, NUMBER_OK);
  g_assert_cmpfloat (number, ==, 0.5);
  g_assert_cmpint (number_parse_decimal (&number, "15ms", 2, 100), ==,
                   NUMBER_OK);
  g_assert_cmpfloat (number, ==, 15);
}

/* A duration of another reading would be in force as a timeout: "0x10ms" was
   16 ms, "inf" and "1e400s" were refused by luck.  */
static void
test_duration (void)
{
  static const char *const malformed[]
      = { "",     "ms",     "5",      "-5ms",       "+5ms",  " 5ms",
          "5 ms", "0x10ms", "infs",   "nans",       "1e3ms", "5ms ",
          "5m",   "1.2.3s", "1e400s", "9999999999s" };
  usec_t span = 7;
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    g_assert_false (duration_parse (&span, malformed[i]));
  g_assert_cmpint (span, ==, 7);
  g_assert_true (duration_parse (&span, "1500ms"));
  g_assert_cmpint (span, ==, 1500 * USEC_PER_MSEC);
  g_assert_true (duration_parse (&span, "2.5s"));
  g_assert_cmpint (span, ==, 2500 * USEC_PER_MSEC);
  g_assert_true (duration_parse (&span, "0ms"));
  g_assert_cmpint (span, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/number/unsigned", test_unsigned);
  g_test_add_func ("/base/number/hex", test_hex);
  g_test_add_func ("/base/number/decimal", test_decimal);
  g_test_add_func ("/base/duration", test_duration);
  return g_test_run ();
}
