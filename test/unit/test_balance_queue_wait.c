/* Load pattern: three times as many requests as a router's places at servers
   can run, for some seconds, then none.  Guards against a queue in which all
   answers are late, against kinds of requests that are starved, and against
   callers that are all told to come back at once.  */

#include "balance/queue_wait.h"

#include <glib.h>
#include <string.h>

enum
{
  PLACES = 6,
  KINDS = 4,
  WAITING_MAX = 4096,
  STEPS = 9000, /* of 1 ms */
  LOAD_END = 6000,
};

#define STEP USEC_PER_MSEC
#define DEADLINE (2500 * USEC_PER_MSEC)

typedef struct kind
{
  uint32_t priority;
  usec_t run;
  usec_t target;
  double part; /* of the requests */
} kind_t;

static const kind_t kinds[KINDS]
    = { { 0, 120 * USEC_PER_MSEC, 400 * USEC_PER_MSEC, 0.6 },
        { 2, 120 * USEC_PER_MSEC, 400 * USEC_PER_MSEC, 0.2 },
        { 1, 200 * USEC_PER_MSEC, 150 * USEC_PER_MSEC, 0.1 }, /* always late */
        { 2, 120 * USEC_PER_MSEC, DEADLINE, 0.1 } };

typedef struct waiting
{
  size_t kind;
  usec_t arrived_at;
  bool is_exempt;
} waiting_t;

typedef struct totals
{
  size_t n_asked[KINDS];
  size_t n_placed[KINDS];
  size_t n_in_time;
  size_t n_expired;  /* waited until the deadline */
  usec_t emptied_at; /* of requests with a target latency */
} totals_t;

typedef struct queue
{
  bool has_rule;
  queue_wait_t rule;
  usec_t free_at[PLACES];
  usec_t place_time;
  usec_t in_time_sent_at;
  size_t n;
  waiting_t items[WAITING_MAX]; /* in the order of sending */
  totals_t totals;
} queue_t;

static bool
goes_before (const waiting_t *other, const waiting_t *item)
{
  if (other->is_exempt != item->is_exempt)
    return other->is_exempt;
  return kinds[other->kind].priority <= kinds[item->kind].priority;
}

static queue_forecast_t
forecast_of (const queue_t *queue, const waiting_t *item, usec_t now)
{
  size_t ahead = 0;
  while (ahead < queue->n && goes_before (&queue->items[ahead], item))
    ahead++;
  return (queue_forecast_t){ .waited = now - item->arrived_at,
                             .wait = queue->place_time * (usec_t)(ahead + 1),
                             .run = kinds[item->kind].run,
                             .target = kinds[item->kind].target,
                             .place_time = queue->place_time };
}

static bool
take_place (queue_t *queue, const waiting_t *item, usec_t now)
{
  const kind_t *kind = &kinds[item->kind];
  for (size_t i = 0; i < PLACES; i++)
    if (queue->free_at[i] <= now)
      {
        queue->free_at[i] = now + kind->run;
        queue->totals.n_placed[item->kind]++;
        usec_t latency = now + kind->run - item->arrived_at;
        if (latency <= kind->target)
          {
            queue->totals.n_in_time++;
            queue->in_time_sent_at = now;
          }
        return true;
      }
  return false;
}

static void
arrive (queue_t *queue, size_t kind, usec_t now)
{
  waiting_t item = { .kind = kind, .arrived_at = now };
  queue->totals.n_asked[kind]++;
  if (queue->n == 0 && take_place (queue, &item, now))
    return;
  queue_forecast_t forecast = forecast_of (queue, &item, now);
  if (forecast.wait > DEADLINE
      || (queue->has_rule
          && queue_wait_refuses (&queue->rule, kind + 1, &forecast,
                                 &item.is_exempt)))
    {
      g_assert_cmpuint (queue->n, >, 0);
      return;
    }
  size_t at = 0;
  while (at < queue->n && goes_before (&queue->items[at], &item))
    at++;
  memmove (&queue->items[at + 1], &queue->items[at],
           (queue->n - at) * sizeof item);
  queue->items[at] = item;
  queue->n++;
  g_assert_cmpuint (queue->n, <, WAITING_MAX);
}

/* Whether ITEM leaves the queue without a place.  */
static bool
gives_up (queue_t *queue, const waiting_t *item, usec_t now)
{
  queue_forecast_t forecast = forecast_of (queue, item, now);
  usec_t late_from = item->arrived_at + queue_wait_max (&forecast);
  usec_t left = item->arrived_at + DEADLINE - now;
  if (left <= 0)
    queue->totals.n_expired++;
  else if (queue->has_rule && !queue_wait_can_end (&forecast, left))
    return true;
  else if (!queue->has_rule || item->is_exempt || now <= late_from
           || queue->in_time_sent_at <= late_from)
    return false;
  return true;
}

static void
serve (queue_t *queue, usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < queue->n; i++)
    if (!take_place (queue, &queue->items[i], now)
        && !gives_up (queue, &queue->items[i], now))
      queue->items[n++] = queue->items[i];
  queue->n = n;
}

static size_t
draw_kind (random_state_t *random)
{
  double unit = random_unit (random);
  size_t kind = 0;
  while (kind + 1 < KINDS && unit >= kinds[kind].part)
    unit -= kinds[kind++].part;
  return kind;
}

/* Runs LOAD times what the places can run until LOAD_END.  */
static totals_t
run_load (double load, bool has_rule)
{
  queue_t *queue = g_new0 (queue_t, 1);
  random_state_t random;
  random_seed (&random, 41);
  double mean_run = 0;
  for (size_t i = 0; i < KINDS; i++)
    mean_run += kinds[i].part * (double)kinds[i].run;
  queue->has_rule = has_rule;
  queue->place_time = (usec_t)(mean_run / PLACES);
  double per_step = load * PLACES * (double)STEP / mean_run;
  double due = 0;
  for (usec_t step = 0; step < STEPS; step++)
    {
      usec_t now = step * STEP;
      serve (queue, now);
      for (size_t i = 0; i < queue->n; i++)
        if (kinds[queue->items[i].kind].target < DEADLINE)
          queue->totals.emptied_at = now;
      if (step < LOAD_END)
        due += per_step;
      while (due >= 1)
        {
          arrive (queue, draw_kind (&random), now);
          due -= 1;
        }
    }
  totals_t totals = queue->totals;
  g_free (queue);
  return totals;
}

static void
test_overload (void)
{
  totals_t even = run_load (1, true);
  totals_t thrice = run_load (3, true);
  totals_t by_deadline = run_load (3, false);
  g_test_message ("in time: %zu at one time, %zu at three times, %zu by the "
                  "deadline alone",
                  even.n_in_time, thrice.n_in_time, by_deadline.n_in_time);
  g_assert_cmpuint (thrice.n_in_time, >=, even.n_in_time);
  size_t n_asked = 0;
  for (size_t i = 0; i < KINDS; i++)
    n_asked += thrice.n_asked[i];
  g_test_message ("expired: %zu of %zu, %zu by the deadline alone",
                  thrice.n_expired, n_asked, by_deadline.n_expired);
  g_assert_cmpuint (thrice.n_expired, ==, 0);
  g_assert_cmpint (thrice.emptied_at, <=,
                   LOAD_END * STEP + 400 * USEC_PER_MSEC);
  for (size_t i = 0; i < KINDS; i++)
    g_assert_cmpuint (thrice.n_placed[i] * (QUEUE_WAIT_REFUSED_MAX + 2), >=,
                      thrice.n_asked[i]);
  /* What the rule is for.  */
  g_assert_cmpuint (by_deadline.n_in_time * 2, <, even.n_in_time);
  g_assert_cmpint (by_deadline.emptied_at, >, LOAD_END * STEP + USEC_PER_SEC);
}

typedef struct rule_case
{
  const char *name;
  queue_forecast_t forecast; /* in ms here */
  bool is_too_long;
} rule_case_t;

static const rule_case_t rule_cases[] = {
  { "in time", { 0, 200, 150, 400, 20 }, false },
  { "late", { 0, 300, 150, 400, 20 }, true },
  { "late by what it waited", { 100, 200, 150, 400, 20 }, true },
  { "waits until its deadline", { 0, 2000, 150, 2500, 20 }, false },
  { "nothing ahead, run over target", { 0, 80, 600, 400, 80 }, false },
  { "one ahead, run over target", { 0, 160, 600, 400, 80 }, true },
  { "next place, after a slow upload", { 300, 10, 100, 200, 20 }, false },
  { "nothing known", { 0, 0, 200, 400, 0 }, false },
};

static void
test_rule (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rule_cases); i++)
    {
      queue_forecast_t forecast = rule_cases[i].forecast;
      g_test_message ("%s", rule_cases[i].name);
      g_assert_cmpint (queue_wait_is_too_long (&forecast), ==,
                       rule_cases[i].is_too_long);
    }
}

/* Two kinds with the same hash entry, in turns: neither is starved.  */
static void
test_shared_entry (void)
{
  queue_wait_t wait = { 0 };
  const queue_forecast_t late
      = { .wait = 300, .run = 150, .target = 400, .place_time = 20 };
  size_t n_exempt[2] = { 0 };
  for (size_t i = 0; i < 200; i++)
    {
      bool is_exempt;
      queue_wait_refuses (&wait, 7 + i % 2 * QUEUE_WAIT_KINDS, &late,
                          &is_exempt);
      n_exempt[i % 2] += is_exempt;
    }
  for (size_t i = 0; i < 2; i++)
    g_assert_cmpuint (n_exempt[i], ==, 100 / (QUEUE_WAIT_REFUSED_MAX + 1));
}

/* Callers that are refused in one moment come back one for each place, as
   far as they can wait; the others are spread.  */
static void
test_returns (void)
{
  enum
  {
    CALLERS = 100,
  };
  queue_returns_t returns = { 0 };
  random_state_t random;
  random_seed (&random, 7);
  const usec_t now = 100 * USEC_PER_SEC;
  const usec_t most = 600 * USEC_PER_MSEC;
  const queue_forecast_t forecast = { .wait = 350 * USEC_PER_MSEC,
                                      .run = 150 * USEC_PER_MSEC,
                                      .target = 400 * USEC_PER_MSEC,
                                      .place_time = 10 * USEC_PER_MSEC };
  usec_t last = 0;
  size_t n_late_half = 0;
  for (size_t i = 0; i < CALLERS; i++)
    {
      usec_t after
          = queue_wait_return (&returns, &forecast, most, &random, now);
      g_assert_cmpint (after, >=, QUEUE_RETURN_MIN);
      g_assert_cmpint (after, <=, most);
      if (i <= 50)
        {
          g_assert_cmpint (
              after, ==, 100 * USEC_PER_MSEC + (usec_t)i * 10 * USEC_PER_MSEC);
          last = after;
        }
      else if (after < last - 150 * USEC_PER_MSEC)
        n_late_half++;
    }
  g_assert_cmpuint (n_late_half, >, 10);
  g_assert_cmpint (queue_wait_return (&returns, &forecast, 0, &random, now),
                   ==, QUEUE_RETURN_MIN);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/queue-wait/overload", test_overload);
  g_test_add_func ("/queue-wait/rule", test_rule);
  g_test_add_func ("/queue-wait/shared-entry", test_shared_entry);
  g_test_add_func ("/queue-wait/returns", test_returns);
  return g_test_run ();
}
