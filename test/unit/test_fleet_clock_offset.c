/* How long messages were under way, by clocks that differ.  */

#include <glib.h>

#include "base/clock.h"
#include "fleet/clock_offset.h"

#define INTERVAL (500 * USEC_PER_MSEC)
#define LATENCY (45 * USEC_PER_MSEC)
/* The sender's clock minus the local one.  */
#define SENDER_AHEAD (1234 * USEC_PER_SEC)

static usec_t
receive (clock_offset_t *offset, usec_t sent_at, usec_t delay)
{
  return clock_offset_delay (offset, sent_at + SENDER_AHEAD, sent_at + delay);
}

/* Messages that were written before a cut arrive after it, and newer ones
   overtake them on another connection.  Guards against a list of backend
   servers, or a confirmation, of before the cut that passes for new.  */
static void
test_cut (void)
{
  clock_offset_t offset = { 0 };
  usec_t now = 100 * USEC_PER_SEC;
  for (int i = 0; i < 40; i++, now += INTERVAL)
    g_assert_cmpint (receive (&offset, now, LATENCY), ==, 0);
  usec_t cut = 7 * USEC_PER_SEC;
  g_assert_cmpint (receive (&offset, now, cut), ==, cut - LATENCY);
  g_assert_cmpint (receive (&offset, now + cut, LATENCY), ==, 0);
  g_assert_cmpint (receive (&offset, now + INTERVAL, cut), ==, cut - LATENCY);
}

/* The first message that arrives was under way for long.  */
static void
test_first_is_late (void)
{
  clock_offset_t offset = { 0 };
  usec_t now = 100 * USEC_PER_SEC;
  receive (&offset, now, 3 * USEC_PER_SEC);
  g_assert_cmpint (receive (&offset, now + INTERVAL, LATENCY), ==, 0);
  g_assert_cmpint (receive (&offset, now + INTERVAL, 2 * LATENCY), ==,
                   LATENCY);
}

/* Guards against a sender that is taken for late for ever: its path became
   longer, or it was rebooted, so that its clock began anew.  */
static void
test_clock_changes (void)
{
  clock_offset_t offset = { 0 };
  usec_t now = 100 * USEC_PER_SEC;
  receive (&offset, now, LATENCY);
  for (int i = 0; i < 41; i++, now += INTERVAL)
    receive (&offset, now, 3 * LATENCY);
  g_assert_cmpint (receive (&offset, now, 3 * LATENCY), ==, 0);
  g_assert_cmpint (clock_offset_delay (&offset, USEC_PER_SEC, now), ==, 0);
  g_assert_cmpint (
      clock_offset_delay (&offset, USEC_PER_SEC + INTERVAL, now + INTERVAL),
      ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet/clock-offset/cut", test_cut);
  g_test_add_func ("/fleet/clock-offset/first-is-late", test_first_is_late);
  g_test_add_func ("/fleet/clock-offset/clock-changes", test_clock_changes);
  return g_test_run ();
}
