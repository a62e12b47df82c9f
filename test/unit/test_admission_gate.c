/* Tests of admission control: which requests run, wait or are refused, and how
   tenants share the queue.  */

#include <glib.h>

#include "admission/admit.h"

enum
{
  SLOTS = 2,
  N_ITEMS = 32,
};

static const usec_t service = 10000;

static void
gate_open (admit_t *admit)
{
  admit_options_t options = {
    .slots = SLOTS, .service_time = service, .weight_max = 1, .queue_max = 16
  };
  admit_init (admit, &options);
}

static admit_item_t
item_new (tenant_id_t tenant, usec_t deadline)
{
  return (admit_item_t){ .fair.tenant = tenant,
                         .deadline = deadline,
                         .weight = 1 };
}

static admit_verdict_t
offer (admit_t *admit, admit_item_t *item, usec_t now, refusal_t *refusal)
{
  admit_item_t *displaced;
  return admit_offer (admit, item, now, refusal, &displaced);
}

static void
test_never_more_than_slots_run (void)
{
  admit_t admit;
  refusal_t refusal;
  gate_open (&admit);
  admit_item_t items[4];
  for (int i = 0; i < 4; i++)
    items[i] = item_new (1, 10 * service);
  g_assert_cmpint (offer (&admit, &items[0], 0, &refusal), ==, ADMIT_RUN);
  g_assert_cmpint (offer (&admit, &items[1], 0, &refusal), ==, ADMIT_RUN);
  g_assert_cmpint (offer (&admit, &items[2], 0, &refusal), ==, ADMIT_QUEUE);
  g_assert_null (admit_next (&admit, 1));
  admit_end (&admit, &items[0], service);
  admit_end (&admit, &items[0], service);
  g_assert_cmpuint (admit.n_running, ==, 1);
  g_assert_true (admit_next (&admit, 2) == &items[2]);
  g_assert_null (admit_next (&admit, 2));
}

static void
test_late_work_is_refused_at_once (void)
{
  admit_t admit;
  refusal_t refusal;
  gate_open (&admit);
  admit_item_t late = item_new (1, service / 2);
  g_assert_cmpint (offer (&admit, &late, 0, &refusal), ==, ADMIT_REFUSE);
  g_assert_cmpint (refusal, ==, REFUSAL_DEADLINE);
  admit_item_t items[N_ITEMS];
  size_t n_queued = 0;
  for (int i = 0; i < N_ITEMS; i++)
    {
      items[i] = item_new (1, 4 * service);
      n_queued += offer (&admit, &items[i], 0, &refusal) == ADMIT_QUEUE;
    }
  /* Two run; two slots serve six more within the three service times that are
     left before the deadline.  */
  g_assert_cmpuint (n_queued, <=, 6);
  g_assert_cmpuint (n_queued, >=, 3);
}

static void
test_queued_work_expires_as_not_run (void)
{
  admit_t admit;
  refusal_t refusal;
  gate_open (&admit);
  admit_item_t items[3];
  for (int i = 0; i < 3; i++)
    {
      items[i] = item_new (1, 4 * service);
      offer (&admit, &items[i], 0, &refusal);
    }
  g_assert_null (admit_expired (&admit, service, &refusal));
  g_assert_true (admit_expired (&admit, 4 * service, &refusal) == &items[2]);
  g_assert_cmpint (refusal, ==, REFUSAL_DEADLINE);
  g_assert_false (items[2].reservation.held);
  admit_end (&admit, &items[0], service);
  g_assert_null (admit_next (&admit, 4 * service));
}

static void
test_gate_without_slots_refuses (void)
{
  admit_t admit;
  refusal_t refusal;
  gate_open (&admit);
  admit_item_t running = item_new (1, 4 * service);
  offer (&admit, &running, 0, &refusal);
  admit_set_slots (&admit, 0);
  admit_item_t item = item_new (1, 4 * service);
  g_assert_cmpint (offer (&admit, &item, 0, &refusal), ==, ADMIT_REFUSE);
  g_assert_cmpint (refusal, ==, REFUSAL_DRAINING);
  g_assert_cmpuint (admit.n_running, ==, 1);
  admit_end (&admit, &running, service);
  g_assert_cmpuint (admit.n_running, ==, 0);
}

static void
test_budgets_are_released_at_the_end (void)
{
  admit_t admit;
  refusal_t refusal;
  gate_open (&admit);
  escrow_holder_options_t options
      = { .kind = BUDGET_CAPACITY, .self = 1, .floor = 1 };
  escrow_holder_t capacity;
  escrow_holder_init (&capacity, &options, 0);
  admit_item_t items[2];
  for (int i = 0; i < 2; i++)
    {
      items[i] = item_new (1, 4 * service);
      items[i].budgets.capacity = &capacity;
    }
  g_assert_cmpint (offer (&admit, &items[0], 0, &refusal), ==, ADMIT_RUN);
  g_assert_cmpint (offer (&admit, &items[1], 0, &refusal), ==, ADMIT_REFUSE);
  g_assert_cmpint (refusal, ==, REFUSAL_CAPACITY);
  admit_end (&admit, &items[0], service);
  g_assert_cmpint (offer (&admit, &items[1], 0, &refusal), ==, ADMIT_RUN);
}

/* One tenant fills the queue: the first request of another tenant must not
   wait behind that burst.  */
static void
test_burst_does_not_delay_other_tenants (void)
{
  admit_t admit;
  refusal_t refusal;
  gate_open (&admit);
  admit_item_t burst[N_ITEMS];
  for (int i = 0; i < N_ITEMS; i++)
    {
      burst[i] = item_new (1, 6 * service);
      offer (&admit, &burst[i], 0, &refusal);
    }
  admit_item_t other = item_new (2, 6 * service);
  g_assert_cmpint (offer (&admit, &other, 0, &refusal), ==, ADMIT_QUEUE);
  admit_end (&admit, &burst[0], service);
  g_assert_true (admit_next (&admit, service) == &other);
}

static void
test_unused_share_is_lent (void)
{
  fair_share_t fair;
  fair_share_init (&fair);
  fair_item_t items[8];
  for (int i = 0; i < 8; i++)
    fair_share_push (&fair, &items[i], 1);
  for (int i = 0; i < 4; i++)
    {
      fair_item_t *item = fair_share_pop (&fair);
      g_assert_true (item == &items[i]);
      fair_share_run (&fair, 1, 1);
    }
  /* The returning tenant waits one turn; it is not repaid for the share that
     it left unused.  */
  fair_item_t others[2];
  fair_share_push (&fair, &others[0], 2);
  fair_share_push (&fair, &others[1], 2);
  g_assert_true (fair_share_pop (&fair) == &others[0]);
  fair_share_run (&fair, 2, 1);
  g_assert_true (fair_share_pop (&fair) == &others[1]
                 || fair.tenants[1].n_queued == 3);
  g_assert_true (fair_share_victim (&fair, 2) == &items[7]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate/slots", test_never_more_than_slots_run);
  g_test_add_func ("/gate/late", test_late_work_is_refused_at_once);
  g_test_add_func ("/gate/expired", test_queued_work_expires_as_not_run);
  g_test_add_func ("/gate/draining", test_gate_without_slots_refuses);
  g_test_add_func ("/gate/budgets", test_budgets_are_released_at_the_end);
  g_test_add_func ("/gate/burst", test_burst_does_not_delay_other_tenants);
  g_test_add_func ("/gate/lent", test_unused_share_is_lent);
  return g_test_run ();
}
