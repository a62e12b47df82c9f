/* Tests of escrow: the cap holds, and holders continue within their shares,
   when messages are lost, late or repeated, VMs restart and clocks drift.  */

#include <glib.h>

#include "admission/admit.h"

enum
{
  CAP = 1000,
  DRIFT_PPM = 100000,
};

static const usec_t lease = USEC_PER_SEC;

static escrow_t *
granter_new (budget_kind_t kind, int64_t reserved)
{
  escrow_options_t options
      = { .kind = kind,
          .cap = CAP,
          .reserved = reserved,
          .n_accounts = 8,
          .terms = { .duration = lease, .drift_ppm = DRIFT_PPM } };
  escrow_t *escrow = escrow_new (&options, NULL);
  g_assert_nonnull (escrow);
  return escrow;
}

static escrow_holder_t
holder_new (budget_kind_t kind, vm_id_t self, int64_t floor, int64_t step)
{
  escrow_holder_options_t options
      = { .kind = kind,
          .self = self,
          .generation = 1,
          .floor = floor,
          .increase_min = step,
          .burst = USEC_PER_SEC / 10,
          .terms = { .duration = lease, .drift_ppm = DRIFT_PPM } };
  escrow_holder_t holder;
  escrow_holder_init (&holder, &options, 0);
  return holder;
}

static void
exchange (escrow_t *escrow, escrow_holder_t *holder, usec_t now)
{
  escrow_ask_t ask = escrow_holder_ask (holder, now);
  escrow_answer_t answer = escrow_apply (escrow, &ask, now);
  escrow_holder_answer (holder, &answer, now);
}

static void
test_reserve_over_cap_is_refused (void)
{
  escrow_options_t options = { .cap = 10, .reserved = 11, .n_accounts = 1 };
  err_t err = { 0 };
  g_assert_null (escrow_new (&options, &err));
  g_assert_cmpint (err.kind, ==, ERR_USAGE);
}

static void
test_holders_share_the_cap (void)
{
  escrow_t *escrow = granter_new (BUDGET_CAPACITY, 200);
  escrow_holder_t a = holder_new (BUDGET_CAPACITY, 1, 100, 600);
  escrow_holder_t b = holder_new (BUDGET_CAPACITY, 2, 100, 600);
  exchange (escrow, &a, 10);
  exchange (escrow, &b, 10);
  int64_t sum = escrow_holder_share (&a, 20) + escrow_holder_share (&b, 20);
  g_assert_cmpint (sum, ==, CAP);
  g_assert_cmpint (escrow_granted (escrow), ==, CAP - 200);
  escrow_free (escrow);
}

static void
test_duplicate_and_reordered_messages_change_nothing (void)
{
  escrow_t *escrow = granter_new (BUDGET_SPEND, 0);
  escrow_holder_t holder = holder_new (BUDGET_SPEND, 1, 0, 100);
  escrow_ask_t first = escrow_holder_ask (&holder, 1);
  escrow_answer_t early = escrow_apply (escrow, &first, 1);
  escrow_holder_answer (&holder, &early, 2);
  g_assert_true (escrow_holder_charge (&holder, 60, 10, 2));
  escrow_ask_t second = escrow_holder_ask (&holder, 3);
  escrow_answer_t late = escrow_apply (escrow, &second, 3);
  escrow_apply (escrow, &first, 4);
  escrow_apply (escrow, &second, 5);
  escrow_holder_answer (&holder, &late, 6);
  escrow_holder_answer (&holder, &early, 7);
  g_assert_cmpint (escrow_granted (escrow), ==, holder.granted);
  escrow_free (escrow);
}

static void
test_return_counts_once (void)
{
  escrow_t *escrow = granter_new (BUDGET_SPEND, 0);
  escrow_holder_t holder = holder_new (BUDGET_SPEND, 1, 0, 100);
  exchange (escrow, &holder, 1);
  g_assert_true (escrow_holder_charge (&holder, 30, 10, 2));
  escrow_ask_t close = escrow_holder_close (&holder, 3);
  escrow_apply (escrow, &close, 3);
  escrow_apply (escrow, &close, 4);
  g_assert_cmpint (escrow_granted (escrow), ==, 30);
  g_assert_false (escrow_holder_charge (&holder, 1, 10, 5));
  escrow_free (escrow);
}

static void
test_lost_spend_counts_as_spent (void)
{
  escrow_t *escrow = granter_new (BUDGET_SPEND, 0);
  escrow_holder_t holder = holder_new (BUDGET_SPEND, 1, 0, 100);
  exchange (escrow, &holder, 1);
  int64_t lost = holder.granted;
  holder.options.generation = 2;
  escrow_holder_options_t options = holder.options;
  escrow_holder_init (&holder, &options, 2);
  exchange (escrow, &holder, 100 * lease);
  g_assert_cmpint (escrow->spent, ==, lost);
  g_assert_cmpint (escrow_granted (escrow), ==, lost + holder.granted);
  escrow_free (escrow);
}

/* Worst clock drift: if the granter with the fastest clock reused a lease
   before the holder with the slowest clock stopped, both would use it.  */
static void
test_holder_stops_before_its_share_is_regranted (void)
{
  escrow_t *escrow = granter_new (BUDGET_CAPACITY, 0);
  escrow_holder_t holder = holder_new (BUDGET_CAPACITY, 1, 0, CAP);
  exchange (escrow, &holder, 0);
  g_assert_cmpint (escrow_holder_share (&holder, 1), ==, CAP);
  for (usec_t t = 0; t < 3 * lease; t += lease / 100)
    {
      usec_t granter_now = t + t * DRIFT_PPM / 1000000;
      usec_t holder_now = t - t * DRIFT_PPM / 1000000;
      escrow_expire (escrow, granter_now);
      g_assert_cmpint (escrow_granted (escrow)
                           - escrow_holder_share (&holder, holder_now),
                       >=, 0);
    }
  g_assert_cmpint (escrow_granted (escrow), ==, 0);
  escrow_free (escrow);
}

static void
test_cut_off_holder_goes_on_within_its_floor (void)
{
  escrow_t *escrow = granter_new (BUDGET_CAPACITY, 10);
  escrow_holder_t holder = holder_new (BUDGET_CAPACITY, 1, 10, 20);
  exchange (escrow, &holder, 0);
  usec_t after = 5 * lease;
  for (int i = 0; i < 10; i++)
    g_assert_true (escrow_holder_charge (&holder, 1, after + 9, after));
  g_assert_false (escrow_holder_charge (&holder, 1, after + 9, after));
  escrow_free (escrow);
}

static void
test_charge_beyond_the_floor_ends_before_the_lease (void)
{
  escrow_t *escrow = granter_new (BUDGET_CAPACITY, 1);
  escrow_holder_t holder = holder_new (BUDGET_CAPACITY, 1, 1, 20);
  exchange (escrow, &holder, 0);
  g_assert_true (escrow_holder_charge (&holder, 1, 2 * lease, 1));
  g_assert_false (escrow_holder_charge (&holder, 1, 2 * lease, 1));
  g_assert_true (escrow_holder_charge (&holder, 1, lease / 2, 1));
  escrow_free (escrow);
}

static void
test_closed_generation_is_stale (void)
{
  escrow_t *escrow = granter_new (BUDGET_CAPACITY, 0);
  escrow_holder_t holder = holder_new (BUDGET_CAPACITY, 1, 0, 20);
  exchange (escrow, &holder, 0);
  escrow_ask_t old = escrow_holder_ask (&holder, 1);
  g_assert_true (escrow_apply (escrow, &old, 9 * lease).stale);
  exchange (escrow, &holder, 10 * lease);
  g_assert_cmpuint (holder.account.generation, ==, 2);
  g_assert_cmpint (escrow_granted (escrow), ==, holder.granted);
  escrow_free (escrow);
}

/* All of a closed account counts as spent, so a refund that arrives after the
   close must not be spent again.  */
static void
test_late_refund_of_a_closed_account_is_ignored (void)
{
  escrow_t *escrow = granter_new (BUDGET_SPEND, 0);
  escrow_holder_t holder = holder_new (BUDGET_SPEND, 1, 0, 100);
  exchange (escrow, &holder, 1);
  uint64_t generation = holder.account.generation;
  g_assert_true (escrow_holder_charge (&holder, 60, 10, 2));
  escrow_answer_t stale = { .account = holder.account, .stale = true };
  escrow_holder_answer (&holder, &stale, 3);
  escrow_holder_release (&holder, 60, generation);
  g_assert_cmpint (escrow_holder_available (&holder, 4), ==, 0);
  escrow_free (escrow);
}

static void
test_rate_is_bounded_over_a_window (void)
{
  escrow_t *escrow = granter_new (BUDGET_RATE, 500);
  escrow_holder_t holder = holder_new (BUDGET_RATE, 1, 500, 50);
  int64_t sent = 0;
  for (usec_t now = 0; now < 10 * USEC_PER_SEC; now += 1000)
    {
      if (now % (lease / 4) == 0)
        exchange (escrow, &holder, now);
      if (escrow_holder_charge (&holder, 10, now + 1000, now))
        sent += 10;
    }
  g_assert_cmpint (sent, <=, CAP * 10 + CAP / 5 + 20);
  g_assert_cmpint (sent, >=, 500 * 10 - 20);
  escrow_free (escrow);
}

static void
test_reservation_releases_once (void)
{
  escrow_t *escrow = granter_new (BUDGET_SPEND, 0);
  escrow_holder_t spend = holder_new (BUDGET_SPEND, 1, 0, 100);
  escrow_holder_t capacity = holder_new (BUDGET_CAPACITY, 1, 1, 1);
  exchange (escrow, &spend, 0);
  admit_budgets_t budgets = { .spend = &spend, .capacity = &capacity };
  admit_needs_t needs = { .price = 40 };
  reservation_t reservation = { 0 };
  refusal_t refusal;
  g_assert_true (
      reservation_take (&reservation, &budgets, &needs, 0, 10, 1, &refusal));
  g_assert_cmpint (spend.in_use, ==, 40);
  reservation_t other = { 0 };
  g_assert_false (
      reservation_take (&other, &budgets, &needs, 0, 10, 1, &refusal));
  g_assert_cmpint (refusal, ==, REFUSAL_CAPACITY);
  reservation_end (&reservation, false);
  reservation_end (&reservation, false);
  g_assert_cmpint (spend.in_use, ==, 0);
  g_assert_cmpint (capacity.in_use, ==, 0);
  needs.price = 1000000;
  g_assert_false (
      reservation_take (&other, &budgets, &needs, 0, 10, 1, &refusal));
  g_assert_cmpint (refusal, ==, REFUSAL_SPEND);
  g_assert_cmpint (capacity.in_use, ==, 0);
  escrow_free (escrow);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/escrow/reserve", test_reserve_over_cap_is_refused);
  g_test_add_func ("/escrow/share", test_holders_share_the_cap);
  g_test_add_func ("/escrow/repeated",
                   test_duplicate_and_reordered_messages_change_nothing);
  g_test_add_func ("/escrow/return", test_return_counts_once);
  g_test_add_func ("/escrow/lost_spend", test_lost_spend_counts_as_spent);
  g_test_add_func ("/escrow/drift",
                   test_holder_stops_before_its_share_is_regranted);
  g_test_add_func ("/escrow/floor",
                   test_cut_off_holder_goes_on_within_its_floor);
  g_test_add_func ("/escrow/until",
                   test_charge_beyond_the_floor_ends_before_the_lease);
  g_test_add_func ("/escrow/stale", test_closed_generation_is_stale);
  g_test_add_func ("/escrow/late_refund",
                   test_late_refund_of_a_closed_account_is_ignored);
  g_test_add_func ("/escrow/rate", test_rate_is_bounded_over_a_window);
  g_test_add_func ("/escrow/reservation", test_reservation_releases_once);
  return g_test_run ();
}
