/* Quotas over all routers and directors, with messages that are delayed and
   lost.  Guards against more requests than the limit allows, summed over the
   routers, and against refusals of accounts that stay within their quota.  The
   oracle is the rule itself: in any window, (rate * window + burst) * 1.1 + 20
   requests.  */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/random.h"
#include "quota/book.h"
#include "quota/limiter.h"

enum
{
  ROUTERS_MAX = 60,
  DIRECTORS = 3, /* the first one leads */
  WINDOW_SECONDS = 5,
  STEP_MSEC = 10,
};

#define STEP (STEP_MSEC * USEC_PER_MSEC)
#define PULL_INTERVAL (400 * USEC_PER_MSEC)
#define SHARE_INTERVAL (250 * USEC_PER_MSEC)

typedef struct fleet
{
  usec_t now;
  random_state_t random;
  size_t n_routers;
  size_t n_listed; /* routers that a router knows of */
  limiter_t routers[ROUTERS_MAX];
  bool is_cut[ROUTERS_MAX]; /* from the directors */
  book_t directors[DIRECTORS];
  bool is_down[DIRECTORS];
  client_account_t account;
  route_config_t config;
  size_t n_admitted[1000]; /* by 100 ms */
  size_t n_refused;
  size_t n_asked;
} fleet_t;

static void
set_quota (fleet_t *fleet, double rate, double burst)
{
  fleet->account.rate = rate;
  fleet->account.burst = burst;
  for (size_t i = 0; i < DIRECTORS; i++)
    book_set_limits (&fleet->directors[i], &fleet->config, fleet->now);
}

static fleet_t *
fleet_new (size_t n_routers, double rate, uint64_t seed)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  fleet->n_routers = n_routers;
  fleet->n_listed = n_routers;
  fleet->now = 100 * USEC_PER_SEC;
  random_seed (&fleet->random, seed);
  fleet->account.id = 7;
  fleet->config.n_accounts = 1;
  fleet->config.accounts = &fleet->account;
  set_quota (fleet, rate, rate);
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  for (size_t i = 0; i < ROUTERS_MAX; i++)
    limiter_clear (&fleet->routers[i]);
  for (size_t i = 0; i < DIRECTORS; i++)
    book_clear (&fleet->directors[i]);
  g_free (fleet);
}

static void
ask (fleet_t *fleet, size_t router, usec_t started_at)
{
  usec_t retry_after = 0;
  fleet->n_asked++;
  if (limiter_admit (&fleet->routers[router], &fleet->account, fleet->n_listed,
                     fleet->now, &retry_after))
    fleet->n_admitted[(fleet->now - started_at) / (100 * USEC_PER_MSEC)]++;
  else
    {
      fleet->n_refused++;
      g_assert_cmpint (retry_after, >, 0);
    }
}

static void
pull (fleet_t *fleet, size_t router)
{
  quota_usage_t usages[QUOTA_USAGES_MAX];
  quota_state_t states[QUOTA_USAGES_MAX];
  book_t *book = &fleet->directors[router % DIRECTORS];
  if (fleet->is_down[router % DIRECTORS])
    book = &fleet->directors[0];
  size_t n = limiter_report (&fleet->routers[router], usages, fleet->now);
  if (fleet->is_cut[router])
    {
      limiter_report_ended (&fleet->routers[router], false, NULL, 0,
                            fleet->now);
      return;
    }
  book_report (book, usages, n, fleet->now);
  n = book_states (book, usages, n, states, fleet->now);
  limiter_report_ended (&fleet->routers[router], true, states, n, fleet->now);
}

/* A follower shares with the leader, or the leader with it.  */
static void
share (fleet_t *fleet, size_t follower, bool from_leader)
{
  book_total_t totals[8];
  book_shared_t shared[8];
  book_t *leader = &fleet->directors[0];
  book_t *other = &fleet->directors[follower];
  const book_source_t source = { .slot = follower,
                                 .incarnation = follower + 1,
                                 .sent_at = fleet->now };
  if (fleet->is_down[follower])
    return;
  if (from_leader)
    {
      size_t n = book_share (leader, follower, shared, 8, fleet->now);
      book_adopt (other, shared, n, fleet->now);
    }
  else
    {
      size_t n = book_totals (other, totals, 8, fleet->now);
      book_add_totals (leader, &source, totals, n, fleet->now);
    }
}

/* Go on for SPAN, while PER_SECOND requests come through the first N_USED
   routers.  */
static void
run (fleet_t *fleet, usec_t span, double per_second, size_t n_used,
     usec_t started_at)
{
  for (usec_t end = fleet->now + span; fleet->now < end; fleet->now += STEP)
    {
      size_t n = (size_t)ceil (per_second * STEP_MSEC / 1000);
      double chance = per_second * STEP_MSEC / 1000 / (double)n;
      for (size_t i = 0; i < n; i++)
        if (random_unit (&fleet->random) < chance)
          ask (fleet, random_below (&fleet->random, n_used), started_at);
      for (size_t i = 0; i < fleet->n_routers; i++)
        if ((fleet->now / STEP + (usec_t)i * 7) % (PULL_INTERVAL / STEP) == 0)
          pull (fleet, i);
      for (size_t i = 1; i < DIRECTORS; i++)
        {
          usec_t phase
              = (fleet->now / STEP + (usec_t)i * 11) % (SHARE_INTERVAL / STEP);
          if (phase == 0 || phase == 12)
            share (fleet, i, phase == 0);
        }
    }
}

/* The most requests admitted in a window of WINDOW_SECONDS.  */
static size_t
busiest_window (const fleet_t *fleet)
{
  enum
  {
    WINDOW = WINDOW_SECONDS * 10,
    N = G_N_ELEMENTS (fleet->n_admitted),
  };
  size_t most = 0;
  for (size_t i = 0; i + WINDOW <= N; i++)
    {
      size_t sum = 0;
      for (size_t j = 0; j < WINDOW; j++)
        sum += fleet->n_admitted[i + j];
      most = MAX (most, sum);
    }
  return most;
}

static size_t
allowed (double rate)
{
  return (size_t)((rate * WINDOW_SECONDS + rate) * 1.1 + 20);
}

static const double rates[] = { 1, 5, 10, 20, 30, 45, 60, 100, 200, 470 };

/* Load: an account is asked for several times its quota, at all routers or at
   a few.  */
static void
test_hot_account (void)
{
  static const size_t used[] = { 60, 10, 1 };
  static const double factors[] = { 1.5, 3, 6 };
  for (size_t r = 0; r < G_N_ELEMENTS (rates); r++)
    for (size_t u = 0; u < G_N_ELEMENTS (used); u++)
      for (size_t f = 0; f < G_N_ELEMENTS (factors); f++)
        {
          fleet_t *fleet = fleet_new (60, rates[r], r * 100 + u * 10 + f);
          usec_t from = fleet->now;
          run (fleet, 5 * USEC_PER_SEC, rates[r] * 0.6, used[u], from);
          run (fleet, 15 * USEC_PER_SEC, rates[r] * factors[f], used[u], from);
          run (fleet, 5 * USEC_PER_SEC, rates[r] * 0.6, used[u], from);
          g_test_message ("rate %g, %zu routers, x%g: %zu of %zu", rates[r],
                          used[u], factors[f], busiest_window (fleet),
                          allowed (rates[r]));
          g_assert_cmpuint (busiest_window (fleet), <=, allowed (rates[r]));
          fleet_free (fleet);
        }
}

/* Load: an account stays within its quota.  Fewer than one in a hundred of its
   requests may be refused, once its callers have come for two seconds.  */
static void
test_within_quota (void)
{
  static const size_t used[] = { 60, 10, 1 };
  for (size_t r = 2; r < G_N_ELEMENTS (rates); r++)
    for (size_t u = 0; u < G_N_ELEMENTS (used); u++)
      {
        fleet_t *fleet = fleet_new (60, rates[r], r * 10 + u);
        run (fleet, 2 * USEC_PER_SEC, rates[r] * 0.6, used[u], fleet->now);
        fleet->n_refused = 0;
        fleet->n_asked = 0;
        run (fleet, 30 * USEC_PER_SEC, rates[r] * 0.6, used[u], fleet->now);
        g_test_message ("rate %g, %zu routers: %zu of %zu refused", rates[r],
                        used[u], fleet->n_refused, fleet->n_asked);
        g_assert_cmpuint (fleet->n_refused * 100, <=, fleet->n_asked + 100);
        fleet_free (fleet);
      }
}

/* Failure: a third of the routers is cut off from the directors while the
   account is hot everywhere, and comes back.  */
static void
test_cut_region (void)
{
  for (size_t r = 0; r < G_N_ELEMENTS (rates); r++)
    {
      fleet_t *fleet = fleet_new (60, rates[r], r);
      usec_t from = fleet->now;
      run (fleet, 5 * USEC_PER_SEC, rates[r] * 3, 60, from);
      for (size_t i = 0; i < 20; i++)
        fleet->is_cut[i] = true;
      run (fleet, 10 * USEC_PER_SEC, rates[r] * 3, 60, from);
      memset (fleet->is_cut, 0, sizeof fleet->is_cut);
      run (fleet, 10 * USEC_PER_SEC, rates[r] * 3, 60, from);
      g_test_message ("rate %g: %zu of %zu", rates[r], busiest_window (fleet),
                      allowed (rates[r]));
      g_assert_cmpuint (busiest_window (fleet), <=, allowed (rates[r]));
      fleet_free (fleet);
    }
}

/* Failure: a director is lost, and its routers go to another one.  */
static void
test_lost_director (void)
{
  for (size_t r = 0; r < G_N_ELEMENTS (rates); r++)
    {
      fleet_t *fleet = fleet_new (60, rates[r], r);
      usec_t from = fleet->now;
      run (fleet, 6 * USEC_PER_SEC, rates[r] * 3, 60, from);
      fleet->is_down[2] = true;
      run (fleet, 10 * USEC_PER_SEC, rates[r] * 3, 60, from);
      g_assert_cmpuint (busiest_window (fleet), <=, allowed (rates[r]));
      fleet_free (fleet);
    }
}

/* Failure: all processes end and start again, twice within a window.  The
   directors list no more routers than have come back to them.  Guards against
   routers that each give out the whole burst then.  */
static void
test_restarted_fleet (void)
{
  static const double rate = 10;
  fleet_t *fleet = fleet_new (3, rate, 0);
  usec_t from = fleet->now;
  run (fleet, 5 * USEC_PER_SEC, rate * 3, 3, from);
  for (size_t start = 0; start < 2; start++)
    {
      for (size_t i = 0; i < fleet->n_routers; i++)
        limiter_clear (&fleet->routers[i]);
      for (size_t i = 0; i < DIRECTORS; i++)
        book_clear (&fleet->directors[i]);
      set_quota (fleet, rate, rate);
      fleet->n_listed = 1;
      run (fleet, 400 * USEC_PER_MSEC, rate * 3, 3, from);
      fleet->n_listed = fleet->n_routers;
      run (fleet, 2 * USEC_PER_SEC, rate * 3, 3, from);
    }
  g_test_message ("%zu of %zu", busiest_window (fleet), allowed (rate));
  g_assert_cmpuint (busiest_window (fleet), <=, allowed (rate));
  fleet_free (fleet);
}

/* A lower limit binds within a window.  */
static void
test_lowered_limit (void)
{
  fleet_t *fleet = fleet_new (60, 400, 1);
  run (fleet, 5 * USEC_PER_SEC, 240, 60, fleet->now);
  set_quota (fleet, 100, 100);
  run (fleet, WINDOW_SECONDS * USEC_PER_SEC, 240, 60, fleet->now);
  memset (fleet->n_admitted, 0, sizeof fleet->n_admitted);
  run (fleet, 10 * USEC_PER_SEC, 240, 60, fleet->now);
  g_assert_cmpuint (busiest_window (fleet), <=, allowed (100));
  fleet_free (fleet);
}

/* Callers that move to another router have the whole rate there soon.  */
static void
test_moving_callers (void)
{
  fleet_t *fleet = fleet_new (60, 100, 1);
  run (fleet, 10 * USEC_PER_SEC, 80, 1, fleet->now);
  usec_t end = fleet->now + 8 * USEC_PER_SEC;
  fleet->n_refused = 0;
  fleet->n_asked = 0;
  for (; fleet->now < end; fleet->now += STEP)
    {
      if (random_unit (&fleet->random) < 0.8)
        ask (fleet, 59, end - 8 * USEC_PER_SEC);
      if ((fleet->now / STEP) % (PULL_INTERVAL / STEP) == 0)
        pull (fleet, 59);
      if ((fleet->now / STEP) % (SHARE_INTERVAL / STEP) == 0)
        for (size_t i = 1; i < DIRECTORS; i++)
          {
            share (fleet, i, false);
            share (fleet, i, true);
          }
    }
  g_test_message ("%zu of %zu refused", fleet->n_refused, fleet->n_asked);
  g_assert_cmpuint (fleet->n_refused, <=, 80);
  fleet_free (fleet);
}

/* A request that was admitted and did not run does not count.  */
static void
test_give_back (void)
{
  fleet_t *fleet = fleet_new (1, 1, 1);
  usec_t retry_after = 0;
  for (int i = 0; i < 100; i++)
    {
      g_assert_true (limiter_admit (&fleet->routers[0], &fleet->account, 1,
                                    fleet->now, &retry_after));
      limiter_give_back (&fleet->routers[0], &fleet->account);
    }
  fleet_free (fleet);
}

/* A report without an answer is told again, and no more than that.  */
static void
test_lost_answer (void)
{
  fleet_t *fleet = fleet_new (1, 10, 1);
  limiter_t *limiter = &fleet->routers[0];
  quota_usage_t usages[QUOTA_USAGES_MAX];
  ask (fleet, 0, fleet->now);
  g_assert_cmpuint (limiter_report (limiter, usages, fleet->now), ==, 1);
  limiter_report_ended (limiter, false, NULL, 0, fleet->now);
  ask (fleet, 0, fleet->now);
  g_assert_cmpuint (limiter_report (limiter, usages, fleet->now), ==, 1);
  g_assert_cmpint (usages[0].admitted, ==, 2);
  limiter_report_ended (limiter, true, NULL, 0, fleet->now);
  g_assert_cmpuint (limiter_report (limiter, usages, fleet->now), ==, 1);
  g_assert_cmpint (usages[0].admitted, ==, 0);
  fleet_free (fleet);
}

/* A director that restarts begins its totals anew; those of a message that was
   overtaken are ignored.  */
static void
test_restarted_director (void)
{
  fleet_t *fleet = fleet_new (1, 100, 1);
  book_t *leader = &fleet->directors[0];
  const quota_usage_t used = { .account = 7, .admitted = 1, .asked = 1 };
  book_source_t source = { .slot = 1, .incarnation = 5, .sent_at = 10 };
  book_total_t total = { .account = 7, .admitted = 50, .asked = 50 };
  quota_state_t state;
  book_report (leader, &used, 1, fleet->now);
  book_add_totals (leader, &source, &total, 1, fleet->now);
  book_states (leader, &used, 1, &state, fleet->now);
  g_assert_cmpfloat_with_epsilon (state.level, 49, 0.01);
  source = (book_source_t){ .slot = 1, .incarnation = 6, .sent_at = 5 };
  total = (book_total_t){ .account = 7, .admitted = 9, .asked = 9 };
  book_add_totals (leader, &source, &total, 1, fleet->now);
  book_states (leader, &used, 1, &state, fleet->now);
  g_assert_cmpfloat_with_epsilon (state.level, 40, 0.01);
  source.sent_at = 4;
  total = (book_total_t){ .account = 7, .admitted = 3, .asked = 3 };
  book_add_totals (leader, &source, &total, 1, fleet->now);
  book_states (leader, &used, 1, &state, fleet->now);
  g_assert_cmpfloat_with_epsilon (state.level, 40, 0.01);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quota/hot-account", test_hot_account);
  g_test_add_func ("/quota/within-quota", test_within_quota);
  g_test_add_func ("/quota/cut-region", test_cut_region);
  g_test_add_func ("/quota/lost-director", test_lost_director);
  g_test_add_func ("/quota/restarted-fleet", test_restarted_fleet);
  g_test_add_func ("/quota/lowered-limit", test_lowered_limit);
  g_test_add_func ("/quota/moving-callers", test_moving_callers);
  g_test_add_func ("/quota/give-back", test_give_back);
  g_test_add_func ("/quota/lost-answer", test_lost_answer);
  g_test_add_func ("/quota/restarted-director", test_restarted_director);
  return g_test_run ();
}
