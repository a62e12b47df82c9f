/* Tests of admission slots, the retry budget, the quarantine and the request
   state machine.  */

#include <glib.h>

#include "delivery/quarantine.h"
#include "delivery/request.h"
#include "delivery/slots.h"

enum
{
  SELF = 1,
  BACKEND = 3,
};

static const usec_t longest_deadline = 10 * USEC_PER_SEC;
static const usec_t stop_margin = 100 * USEC_PER_MSEC;
static const usec_t startup_wait_end
    = longest_deadline + stop_margin; /* end of the wait after a start */

static slots_t *
open_slots (usec_t started_at)
{
  const slots_options_t options = { .self = SELF,
                                    .owners = { SELF },
                                    .n_owners = 1,
                                    .max_backends = 8,
                                    .max_time_to_deadline = longest_deadline,
                                    .stop_margin = stop_margin,
                                    .started_at = started_at };
  slots_t *slots = slots_new (&options, NULL);
  const slot_backend_t caps
      = { .key = 9, .max_slots = 3, .max_connections = 2 };
  g_assert_true (slots_set_backend (slots, BACKEND, &caps, NULL));
  return slots;
}

static void
test_slots_have_one_owner (void)
{
  const vm_id_t owners[] = { 4, 7, 9 };
  size_t n_owned[3] = { 0 };
  for (uint64_t key = 0; key < 300; key++)
    {
      vm_id_t owner = slots_owner (owners, 3, key);
      for (size_t i = 0; i < 3; i++)
        n_owned[i] += owners[i] == owner;
      /* The order of the owners doesn't matter, and removing an owner moves
         no backend server of the other owners.  */
      const vm_id_t others[] = { 9, 4 };
      if (owner != 7)
        g_assert_cmpuint (slots_owner (others, 2, key), ==, owner);
    }
  g_assert_cmpuint (n_owned[0] + n_owned[1] + n_owned[2], ==, 300);
  for (size_t i = 0; i < 3; i++)
    g_assert_cmpuint (n_owned[i], >, 60);
}

static void
test_slots_are_released_once (void)
{
  slots_t *slots = open_slots (0);
  slot_token_t tokens[3];
  slot_token_t none;
  usec_t deadline = startup_wait_end + USEC_PER_SEC;
  for (size_t i = 0; i < 3; i++)
    g_assert_cmpint (
        slots_admit (slots, BACKEND, deadline, startup_wait_end, &tokens[i]),
        ==, SLOT_GRANTED);
  g_assert_cmpint (
      slots_admit (slots, BACKEND, deadline, startup_wait_end, &none), ==,
      SLOT_FULL);
  g_assert_true (slots_release (slots, &tokens[0]));
  g_assert_false (slots_release (slots, &tokens[0]));
  g_assert_cmpint (
      slots_admit (slots, BACKEND, deadline, startup_wait_end, &none), ==,
      SLOT_GRANTED);
  /* The first token doesn't release the slot of its next holder.  */
  g_assert_false (slots_release (slots, &tokens[0]));
  g_assert_cmpuint (slots_used (slots, BACKEND), ==, 3);
  slots_free (slots);
}

static void
test_cancelled_slot_waits_for_the_deadline (void)
{
  slots_t *slots = open_slots (0);
  slot_token_t token;
  usec_t deadline = startup_wait_end + USEC_PER_SEC;
  slots_admit (slots, BACKEND, deadline, startup_wait_end, &token);
  g_assert_true (slots_cancel (slots, &token));
  g_assert_false (slots_may_send (slots, &token, startup_wait_end));
  g_assert_cmpuint (slots_tick (slots, deadline), ==, 0);
  g_assert_cmpuint (slots_tick (slots, deadline + stop_margin), ==, 1);
  g_assert_false (slots_release (slots, &token));
  g_assert_cmpuint (slots_used (slots, BACKEND), ==, 0);
  slots_free (slots);
}

static void
test_restarted_owner_waits (void)
{
  slots_t *slots = open_slots (USEC_PER_SEC);
  slot_token_t token;
  usec_t wait_end = USEC_PER_SEC + startup_wait_end;
  g_assert_cmpint (
      slots_admit (slots, BACKEND, wait_end + 5, wait_end - 1, &token), ==,
      SLOT_STARTUP_WAIT);
  g_assert_false (slots_open_connection (slots, BACKEND, wait_end - 1));
  g_assert_cmpint (
      slots_admit (slots, BACKEND, wait_end + 5, wait_end, &token), ==,
      SLOT_GRANTED);
  g_assert_true (slots_may_send (slots, &token, wait_end + 4));
  g_assert_false (slots_may_send (slots, &token, wait_end + 5));
  slots_free (slots);
}

static void
test_slots_refuse (void)
{
  slots_t *slots = open_slots (0);
  slot_token_t token;
  usec_t due = startup_wait_end + longest_deadline;
  g_assert_cmpint (
      slots_admit (slots, BACKEND, due + 1, startup_wait_end, &token), ==,
      SLOT_DEADLINE);
  g_assert_cmpint (slots_admit (slots, 0, due, startup_wait_end, &token), ==,
                   SLOT_NO_BACKEND);
  slots_set_draining (slots, BACKEND, true);
  g_assert_cmpint (slots_admit (slots, BACKEND, due, startup_wait_end, &token),
                   ==, SLOT_DRAINING);
  g_assert_true (slots_open_connection (slots, BACKEND, startup_wait_end));
  g_assert_true (slots_open_connection (slots, BACKEND, startup_wait_end));
  g_assert_false (slots_open_connection (slots, BACKEND, startup_wait_end));
  slots_close_connection (slots, BACKEND);
  g_assert_true (slots_open_connection (slots, BACKEND, startup_wait_end));
  slots_free (slots);
}

/* Guards against a retry storm: all requests fail, and each one asks for
   several retries.  The retries stay within the budget's share.  */
static void
test_retry_budget_in_an_outage (void)
{
  retry_budget_t budget;
  retry_budget_init (&budget, 100, 10);
  uint64_t n_retries = 0;
  for (uint64_t i = 1; i <= 10000; i++)
    {
      retry_budget_deposit (&budget);
      for (int attempt = 0; attempt < 3; attempt++)
        n_retries += retry_budget_withdraw (&budget);
      g_assert_cmpuint (n_retries * 10, <=, i);
    }
  g_assert_cmpuint (n_retries, ==, 1000);
}

static quarantine_t *
open_quarantine (vm_id_t self)
{
  const quarantine_options_t options
      = { .self = self,
          .incarnation = 1,
          .max_fingerprints = 8,
          .suspect_ttl = 60 * USEC_PER_SEC,
          .quarantine_ttl = 600 * USEC_PER_SEC,
          .correlation_window = 2 * USEC_PER_SEC };
  return quarantine_new (&options, NULL);
}

static fingerprint_t
fingerprint_of (const char *path)
{
  return quarantine_fingerprint ("dedicate", "POST", path, "body", 4);
}

static void
test_two_crashes_quarantine_the_culprit_alone (void)
{
  quarantine_t *quarantine = open_quarantine (1);
  fingerprint_t poison = fingerprint_of ("/poison");
  const fingerprint_t both[] = { poison, fingerprint_of ("/innocent") };
  usec_t now = USEC_PER_SEC;
  g_assert_cmpint (quarantine_check (quarantine, poison, 1, now), ==,
                   QUARANTINE_ALLOW);
  g_assert_true (quarantine_on_crash (quarantine, 1, both, 2, now));
  /* Both are suspects: one request of each at a time, and only one suspect
     on a backend server.  */
  now += 10 * USEC_PER_SEC;
  g_assert_cmpint (quarantine_check (quarantine, both[1], 2, now), ==,
                   QUARANTINE_ALLOW_ALONE);
  quarantine_on_send (quarantine, both[1], 2, now);
  g_assert_cmpint (quarantine_check (quarantine, poison, 2, now), ==,
                   QUARANTINE_TRY_ELSEWHERE);
  g_assert_cmpint (quarantine_check (quarantine, both[1], 3, now), ==,
                   QUARANTINE_TRY_ELSEWHERE);
  quarantine_on_end (quarantine, both[1], 2, true, now);
  g_assert_cmpint (quarantine_check (quarantine, both[1], 2, now), ==,
                   QUARANTINE_ALLOW);
  quarantine_on_send (quarantine, poison, 2, now);
  quarantine_on_crash (quarantine, 2, both, 1, now);
  g_assert_cmpint (quarantine_check (quarantine, poison, 4, now), ==,
                   QUARANTINE_REFUSE);
  g_assert_cmpuint (quarantine_count (quarantine, now), ==, 1);
  now += 600 * USEC_PER_SEC;
  g_assert_cmpint (quarantine_check (quarantine, poison, 4, now), ==,
                   QUARANTINE_ALLOW);
  quarantine_free (quarantine);
}

/* Guards against a poison request that crashes one backend server of each VM
   and is never quarantined.  Each VM observes one crash; once the messages
   have arrived, repeated and in any order, both VMs refuse the fingerprint,
   until the quarantine expires.  */
static void
test_quarantine_is_shared (void)
{
  quarantine_t *vms[] = { open_quarantine (1), open_quarantine (2) };
  fingerprint_t poison = fingerprint_of ("/poison");
  quarantine_message_t messages[2];
  for (size_t i = 0; i < 2; i++)
    {
      quarantine_on_crash (vms[i], 1, &poison, 1, USEC_PER_SEC);
      g_assert_true (quarantine_has_unsent (vms[i]));
      quarantine_write (vms[i], &messages[i], 2 * USEC_PER_SEC);
      g_assert_false (quarantine_has_unsent (vms[i]));
      g_assert_cmpuint (messages[i].n, ==, 1);
    }
  for (size_t i = 0; i < 4; i++)
    quarantine_merge (vms[0], &messages[i % 2], 3 * USEC_PER_SEC);
  g_assert_cmpint (quarantine_check (vms[0], poison, 7, 4 * USEC_PER_SEC), ==,
                   QUARANTINE_REFUSE);
  quarantine_merge (vms[1], &messages[1], 3 * USEC_PER_SEC);
  g_assert_cmpint (quarantine_check (vms[1], poison, 7, 4 * USEC_PER_SEC), ==,
                   QUARANTINE_ALLOW_ALONE);
  quarantine_write (vms[0], &messages[0], 5 * USEC_PER_SEC);
  quarantine_merge (vms[1], &messages[0], 5 * USEC_PER_SEC);
  g_assert_cmpint (quarantine_check (vms[1], poison, 7, 6 * USEC_PER_SEC), ==,
                   QUARANTINE_REFUSE);
  /* Exchanged messages don't extend the life of a mark.  */
  for (usec_t now = 6; now < 700; now += 20)
    for (size_t i = 0; i < 2; i++)
      {
        quarantine_write (vms[i], &messages[i], now * USEC_PER_SEC);
        quarantine_merge (vms[1 - i], &messages[i], now * USEC_PER_SEC);
      }
  g_assert_cmpuint (quarantine_count (vms[1], 700 * USEC_PER_SEC), ==, 0);
  quarantine_free (vms[0]);
  quarantine_free (vms[1]);
}

/* Guards against VMs that disagree for good about a fingerprint.  Crashes,
   complete answers and messages happen in a random order, and some messages
   are lost; after all VMs have exchanged messages, their verdicts agree.  */
static void
test_quarantine_converges (void)
{
  enum
  {
    N_VMS = 3,
    N_FINGERPRINTS = 4,
    N_CRASHES = 6,
  };
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      random_state_t random;
      random_seed (&random, seed);
      quarantine_t *vms[N_VMS];
      for (size_t i = 0; i < N_VMS; i++)
        vms[i] = open_quarantine ((vm_id_t)i);
      usec_t now = 0;
      for (int i = 0; i < N_CRASHES * N_VMS; i++)
        {
          now += 3 * USEC_PER_SEC;
          size_t vm = random_below (&random, N_VMS);
          fingerprint_t fingerprint
              = { .low = random_below (&random, N_FINGERPRINTS) };
          quarantine_message_t message;
          switch (random_below (&random, 4))
            {
            case 0:
              if (i < N_CRASHES)
                quarantine_on_crash (vms[vm], 1, &fingerprint, 1, now);
              break;
            case 1:
              quarantine_on_end (vms[vm], fingerprint, 1, true, now);
              break;
            default:
              quarantine_write (vms[vm], &message, now);
              quarantine_merge (vms[random_below (&random, N_VMS)], &message,
                                now);
              break;
            }
        }
      for (int i = 0; i < 2 * N_VMS * N_VMS; i++)
        {
          quarantine_message_t message;
          quarantine_write (vms[i % N_VMS], &message, now);
          quarantine_merge (vms[i / N_VMS % N_VMS], &message, now);
        }
      for (uint64_t i = 0; i < N_FINGERPRINTS; i++)
        for (size_t vm = 1; vm < N_VMS; vm++)
          g_assert_cmpint (
              quarantine_check (vms[vm], (fingerprint_t){ .low = i }, 1, now),
              ==,
              quarantine_check (vms[0], (fingerprint_t){ .low = i }, 1, now));
      for (size_t i = 0; i < N_VMS; i++)
        quarantine_free (vms[i]);
    }
}

/* Guards against quarantining a popular request when a rack fails: a request
   with its fingerprint was in flight on each of the backend servers that
   crashed together.  */
static void
test_correlated_crashes_quarantine_nothing (void)
{
  quarantine_t *quarantine = open_quarantine (1);
  fingerprint_t popular = fingerprint_of ("/popular");
  for (uint32_t backend = 0; backend < QUARANTINE_CORRELATED_CRASHES;
       backend++)
    quarantine_on_crash (quarantine, backend, &popular, 1,
                         USEC_PER_SEC + backend * USEC_PER_MSEC);
  g_assert_cmpint (quarantine_check (quarantine, popular, 7, 2 * USEC_PER_SEC),
                   ==, QUARANTINE_ALLOW_ALONE);
  quarantine_free (quarantine);
}

static void
test_quarantine_is_bounded (void)
{
  quarantine_t *quarantine = open_quarantine (1);
  fingerprint_t poison = fingerprint_of ("/poison");
  quarantine_on_crash (quarantine, 1, &poison, 1, 0);
  quarantine_on_crash (quarantine, 2, &poison, 1, 5 * USEC_PER_SEC);
  for (int i = 0; i < 100; i++)
    {
      char path[32];
      g_snprintf (path, sizeof path, "/%d", i);
      fingerprint_t other = fingerprint_of (path);
      quarantine_on_crash (quarantine, 3, &other, 1,
                           (10 + 5 * i) * USEC_PER_SEC);
    }
  /* The quarantined fingerprint stays; suspects evict one another.  */
  g_assert_cmpint (
      quarantine_check (quarantine, poison, 4, 510 * USEC_PER_SEC), ==,
      QUARANTINE_REFUSE);
  quarantine_free (quarantine);
}

/* An idempotent request is retried within the retry budget.  An answer under
   another send ID, or one whose end can't be recognised, is not passed on.  */
static void
test_idempotent_request_retries (void)
{
  request_t request;
  request_actions_t actions;
  request_counters_t counters = { 0 };
  retry_budget_t budget;
  retry_budget_init (&budget, 1000, 1);
  const request_options_t options = {
    .idempotent = true, .id = 256, .deadline = USEC_PER_SEC, .max_sends = 3
  };
  request_start (&request, &options, 0, &actions);
  request_event_t events[] = { { .kind = EVENT_ADMITTED },
                               { .kind = EVENT_SEND_STARTED },
                               { .kind = EVENT_HEAD, .request_id = 999 },
                               { .kind = EVENT_HEAD, .request_id = 257 },
                               { .kind = EVENT_END, .request_id = 257 } };
  events[3].as.answer.framing = FRAMING_CLOSE;
  events[4].as.answer.framed_end = true;
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    request_on_event (&request, &events[i], &budget, &counters, 1, &actions);
  g_assert_cmpuint (counters.mismatched_answers, ==, 1);
  g_assert_cmpuint (counters.truncated_answers, ==, 1);
  g_assert_cmpuint (counters.retries, ==, 1);
  g_assert_cmpint (actions.items[0].kind, ==, ACTION_CANCEL_SLOT);
  g_assert_cmpint (actions.items[1].kind, ==, ACTION_PLACE);
  /* The first attempt may have run, so that a refusal of the second one is
     reported as "unknown".  */
  const request_event_t nowhere
      = { .kind = EVENT_NOT_PLACED, .as.reason = REASON_NO_CAPACITY };
  request_on_event (&request, &nowhere, &budget, &counters, 2, &actions);
  g_assert_cmpint (actions.items[0].kind, ==, ACTION_REPORT_OUTCOME);
  g_assert_cmpint (actions.items[0].as.outcome.kind, ==, OUTCOME_UNKNOWN);
}

/* Guards against "not run" for a request whose target refused it, after an
   earlier transmission of the same send that may have run.  */
static void
test_refusal_after_a_transmission_is_unknown (void)
{
  for (int was_transmitted = 0; was_transmitted <= 1; was_transmitted++)
    {
      request_t request;
      request_actions_t actions;
      request_counters_t counters = { 0 };
      retry_budget_t budget;
      retry_budget_init (&budget, 1000, 1);
      const request_options_t options = {
        .idempotent = true, .id = 256, .deadline = USEC_PER_SEC, .max_sends = 1
      };
      request_start (&request, &options, 0, &actions);
      request_event_t events[]
          = { { .kind = EVENT_ADMITTED },
              { .kind = EVENT_SEND_STARTED, .request_id = 257 },
              { .kind = EVENT_TARGET_REFUSED, .request_id = 257 } };
      events[2].as.refusal.reason = REASON_BACKEND_FAILED;
      events[2].as.refusal.may_have_run = was_transmitted == 1;
      for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
        request_on_event (&request, &events[i], &budget, &counters, 1,
                          &actions);
      const request_action_t *last = &actions.items[actions.n - 1];
      g_assert_cmpint (last->kind, ==, ACTION_REPORT_OUTCOME);
      g_assert_cmpint (last->as.outcome.kind, ==,
                       was_transmitted ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
    }
}

/* Guards against a late failure that ends the wrong attempt: the connection of
   the first send fails after the second send has started.  */
static void
test_late_failure_leaves_the_next_send_alone (void)
{
  request_t request;
  request_actions_t actions;
  request_counters_t counters = { 0 };
  retry_budget_t budget;
  retry_budget_init (&budget, 1000, 1);
  const request_options_t options = {
    .idempotent = true, .id = 256, .deadline = USEC_PER_SEC, .max_sends = 3
  };
  request_start (&request, &options, 0, &actions);
  const request_event_t events[]
      = { { .kind = EVENT_FORWARD },
          { .kind = EVENT_TARGET_REFUSED, .request_id = 257 },
          { .kind = EVENT_ADMITTED },
          { .kind = EVENT_SEND_STARTED, .request_id = 258 },
          { .kind = EVENT_CONNECTION_FAILED, .request_id = 257 } };
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    request_on_event (&request, &events[i], &budget, &counters, 1, &actions);
  g_assert_cmpuint (actions.n, ==, 0);
  g_assert_cmpint (request.phase, ==, REQUEST_SENT);
}

static size_t
count_releases (const request_actions_t *actions)
{
  size_t n = 0;
  for (size_t i = 0; i < actions->n; i++)
    n += actions->items[i].kind == ACTION_RELEASE_SLOT;
  return n;
}

/* Guards against a slot that leaks, or is released twice, when the caller
   closes its connection during the claim.  Whatever event follows, the slot is
   released once, and a claim that was won is released.  */
static void
test_abandoned_request_releases_its_slot_once (void)
{
  request_t request;
  request_actions_t actions;
  request_counters_t counters = { 0 };
  retry_budget_t budget;
  retry_budget_init (&budget, 100, 1);
  const request_options_t options = { .id = 256,
                                      .deadline = USEC_PER_SEC,
                                      .linger_timeout = USEC_PER_SEC };
  request_start (&request, &options, 0, &actions);
  const request_event_kind_t events[]
      = { EVENT_ADMITTED, EVENT_CANCEL, EVENT_CANCEL_CONFIRMED };
  size_t n_releases = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    {
      const request_event_t event = { .kind = events[i] };
      request_on_event (&request, &event, &budget, &counters, 1, &actions);
      n_releases += count_releases (&actions);
      if (events[i] != EVENT_CANCEL)
        continue;
      request_t before = request;
      request_event_t won = { .kind = EVENT_CLAIM_SETTLED };
      won.as.claim.phase = CLAIM_WON;
      request_on_event (&before, &won, &budget, &counters, 2, &actions);
      g_assert_cmpuint (actions.n, ==, 1);
      g_assert_cmpint (actions.items[0].kind, ==, ACTION_RELEASE_CLAIM);
    }
  g_assert_cmpuint (n_releases, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request/refused-after-transmission",
                   test_refusal_after_a_transmission_is_unknown);
  g_test_add_func ("/slots/owner", test_slots_have_one_owner);
  g_test_add_func ("/slots/once", test_slots_are_released_once);
  g_test_add_func ("/slots/cancel",
                   test_cancelled_slot_waits_for_the_deadline);
  g_test_add_func ("/slots/quiet", test_restarted_owner_waits);
  g_test_add_func ("/slots/refuse", test_slots_refuse);
  g_test_add_func ("/retry-budget/outage", test_retry_budget_in_an_outage);
  g_test_add_func ("/quarantine/culprit",
                   test_two_crashes_quarantine_the_culprit_alone);
  g_test_add_func ("/quarantine/spreads", test_quarantine_is_shared);
  g_test_add_func ("/quarantine/converges", test_quarantine_converges);
  g_test_add_func ("/quarantine/wide",
                   test_correlated_crashes_quarantine_nothing);
  g_test_add_func ("/quarantine/bounded", test_quarantine_is_bounded);
  g_test_add_func ("/request/idempotent", test_idempotent_request_retries);
  g_test_add_func ("/request/late-failure",
                   test_late_failure_leaves_the_next_send_alone);
  g_test_add_func ("/request/abandoned",
                   test_abandoned_request_releases_its_slot_once);
  return g_test_run ();
}
