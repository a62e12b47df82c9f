/* Guards against a slow reader that is taken for a silent peer, and against a
   silent peer that is noticed late or not at all: what the kernel tells in a
   row of checks, and what is made of it.  */

#include <glib.h>

#include "wire/send_watch.h"

#define START (1000 * USEC_PER_SEC)

typedef struct world
{
  send_watch_t watch;
  usec_t now;
  usec_t sent_at;
  usec_t acknowledged_at;
  uint32_t n_unacknowledged;
  uint32_t unsent_bytes;
  uint32_t n_probes;
  uint64_t n_acknowledged;
  bool is_closed;
} world_t;

static world_t
world_new (void)
{
  return (world_t){ .now = START, .sent_at = START, .acknowledged_at = START };
}

static send_state_t
check (world_t *world)
{
  const send_facts_t facts
      = { .n_unacknowledged = world->n_unacknowledged,
          .unsent_bytes = world->unsent_bytes,
          .n_probes = world->n_probes,
          .since_sent = world->now - world->sent_at,
          .since_acknowledged = world->now - world->acknowledged_at,
          .n_acknowledged = world->n_acknowledged,
          .is_closed = world->is_closed };
  return send_watch_check (&world->watch, &facts, world->now);
}

static send_state_t
check_next (world_t *world)
{
  world->now += SEND_WATCH_SPAN;
  return check (world);
}

/* The peer's window is closed; each probe is sent PROBE_SPAN after the one
   before, and acknowledged.  */
static void
hold_back (world_t *world, usec_t span, usec_t probe_span)
{
  usec_t end = world->now + span;
  world->n_unacknowledged = 0;
  world->unsent_bytes = 1000;
  while (world->now < end)
    {
      g_assert_cmpint (check_next (world), ==, SEND_GOES_ON);
      if (world->now >= world->acknowledged_at + probe_span)
        world->acknowledged_at = world->now;
    }
}

/* The checks from now on until the peer is taken for silent.  */
static usec_t
span_until_silent (world_t *world)
{
  usec_t start = world->now;
  while (check_next (world) != SEND_SILENT)
    g_assert_cmpint (world->now - start, <, 10 * USEC_PER_SEC);
  return world->now - start;
}

static void
test_slow_reader (void)
{
  static const usec_t probe_spans[]
      = { 200 * USEC_PER_MSEC, 700 * USEC_PER_MSEC, 5 * USEC_PER_SEC };
  for (size_t i = 0; i < G_N_ELEMENTS (probe_spans); i++)
    {
      world_t world = world_new ();
      hold_back (&world, 60 * USEC_PER_SEC, probe_spans[i]);
      g_assert_true (world.watch.is_held);
    }
}

/* The option stays ahead of the time for which bytes were held back: the
   kernel ends the connection otherwise; and not far, or it probes too rarely.
 */
static void
test_timeout (void)
{
  world_t world = world_new ();
  hold_back (&world, 300 * USEC_PER_MSEC, 200 * USEC_PER_MSEC);
  g_assert_cmpint (world.watch.timeout_msec, ==, SEND_TIMEOUT_MSEC);
  for (int i = 0; i < 100; i++)
    {
      hold_back (&world, SEND_WATCH_SPAN, 200 * USEC_PER_MSEC);
      int held_msec = (int)((world.now - START) / USEC_PER_MSEC);
      int ahead = world.watch.timeout_msec - held_msec;
      g_assert_cmpint (ahead, >=, 2 * SEND_WATCH_SPAN / USEC_PER_MSEC);
      g_assert_cmpint (world.watch.timeout_msec, >=, SEND_TIMEOUT_MSEC);
      if (held_msec > SEND_TIMEOUT_MSEC)
        g_assert_cmpint (ahead, <=, SEND_TIMEOUT_MSEC / 2);
    }
}

/* A probe is answered no more, after the window was closed for some time.  */
static void
test_silent_when_closed (void)
{
  for (int seconds = 1; seconds <= 20; seconds++)
    {
      world_t world = world_new ();
      hold_back (&world, seconds * USEC_PER_SEC, 200 * USEC_PER_MSEC);
      world.n_probes = 1;
      g_assert_cmpint (span_until_silent (&world), <=,
                       SEND_TIMEOUT_MSEC * USEC_PER_MSEC);
    }
}

/* The window has opened again, and what is sent then is not acknowledged.  */
static void
test_silent_when_open (void)
{
  world_t world = world_new ();
  hold_back (&world, 3 * USEC_PER_SEC, 200 * USEC_PER_MSEC);
  world.acknowledged_at = world.now;
  world.sent_at = world.now;
  world.n_unacknowledged = 3;
  g_assert_cmpint (span_until_silent (&world), <=,
                   SEND_TIMEOUT_MSEC * USEC_PER_MSEC + SEND_WATCH_SPAN);
}

/* A probe that is lost is followed by another, and a caller that was not
   scheduled for long does not find its peer silent at once.  */
static void
test_not_silent (void)
{
  world_t world = world_new ();
  hold_back (&world, 3 * USEC_PER_SEC, 200 * USEC_PER_MSEC);
  world.n_probes = 1;
  for (int i = 0; i < 7; i++)
    g_assert_cmpint (check_next (&world), ==, SEND_GOES_ON);
  world.n_probes = 0;
  world.acknowledged_at = world.now;
  hold_back (&world, 3 * USEC_PER_SEC, 200 * USEC_PER_MSEC);
  world.now += 20 * USEC_PER_SEC;
  world.n_probes = 1;
  g_assert_cmpint (check (&world), ==, SEND_GOES_ON);
}

/* Before bytes are held back the kernel decides; nor does what it does not
   tell count.  */
static void
test_not_held (void)
{
  world_t world = world_new ();
  world.n_unacknowledged = 10;
  world.unsent_bytes = 1000;
  for (int i = 0; i < 50; i++)
    {
      world.sent_at = world.now;
      g_assert_cmpint (check_next (&world), ==, SEND_GOES_ON);
    }
  g_assert_false (world.watch.is_held);
  world = world_new ();
  g_assert_cmpint (check_next (&world), ==, SEND_ARRIVED);
  g_assert_false (world.watch.is_held);
  send_watch_t watch = { 0 };
  const send_facts_t nothing = { 0 };
  g_assert_cmpint (send_watch_check (&watch, &nothing, START), ==,
                   SEND_ARRIVED);
  g_assert_false (watch.is_held);
}

/* Where the kernel ends nothing, bytes under way to an open window are silence
   from the start, whatever the peer sends of its own; not if they are
   acknowledged, nor if the window is closed.  */
static void
test_alone (void)
{
  static const struct
  {
    uint64_t acknowledged_each;
    bool is_closed;
    bool is_silent;
  } cases[]
      = { { 0, false, true }, { 1000, false, false }, { 0, true, false } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      world_t world = world_new ();
      world.watch.kernel_timer_is_off = true;
      world.n_unacknowledged = 2;
      world.is_closed = cases[i].is_closed;
      bool is_silent = false;
      for (int n = 0; n < 17; n++)
        {
          world.acknowledged_at = world.now;
          world.n_acknowledged += cases[i].acknowledged_each;
          is_silent |= check_next (&world) == SEND_SILENT;
        }
      g_assert_cmpint (is_silent, ==, cases[i].is_silent);
    }
}

/* Linux leaves a probe unanswered that comes within 500 ms of the one before:
   the next one may follow a second later.  */
static void
test_unanswered_probe (void)
{
  world_t world = world_new ();
  hold_back (&world, 400 * USEC_PER_MSEC, 200 * USEC_PER_MSEC);
  world.n_probes = 1;
  for (int i = 0; i < 11; i++)
    g_assert_cmpint (check_next (&world), ==, SEND_GOES_ON);
  g_assert_cmpint (span_until_silent (&world), <=, 2 * SEND_WATCH_SPAN);
}

/* What comes late counts once it is looked at: a probe that was unanswered
   before a long absence has time to be answered after it.  */
static void
test_absent (void)
{
  world_t world = world_new ();
  hold_back (&world, 3 * USEC_PER_SEC, 1000 * USEC_PER_MSEC);
  world.acknowledged_at = world.now - 900 * USEC_PER_MSEC;
  world.n_probes = 1;
  g_assert_cmpint (check_next (&world), ==, SEND_GOES_ON);
  world.now += 20 * USEC_PER_SEC;
  g_assert_cmpint (check (&world), ==, SEND_GOES_ON);
  world.now += 20 * USEC_PER_SEC;
  world.acknowledged_at = world.now - 900 * USEC_PER_MSEC;
  g_assert_cmpint (check (&world), ==, SEND_GOES_ON);
  g_assert_cmpint (span_until_silent (&world), <=, 800 * USEC_PER_MSEC);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/send-watch/slow-reader", test_slow_reader);
  g_test_add_func ("/wire/send-watch/timeout", test_timeout);
  g_test_add_func ("/wire/send-watch/silent-when-closed",
                   test_silent_when_closed);
  g_test_add_func ("/wire/send-watch/silent-when-open", test_silent_when_open);
  g_test_add_func ("/wire/send-watch/not-silent", test_not_silent);
  g_test_add_func ("/wire/send-watch/not-held", test_not_held);
  g_test_add_func ("/wire/send-watch/alone", test_alone);
  g_test_add_func ("/wire/send-watch/unanswered-probe", test_unanswered_probe);
  g_test_add_func ("/wire/send-watch/absent", test_absent);
  return g_test_run ();
}
