/* Tests of delivery: slots, the retry budget and the quarantine.  */

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
static const usec_t quiet_until
    = longest_deadline + stop_margin; /* the quiet time is over */

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
      /* The order of the settings doesn't matter, and who goes takes no one
         else's backend servers along.  */
      const vm_id_t others[] = { 9, 4 };
      if (owner != 7)
        g_assert_cmpuint (slots_owner (others, 2, key), ==, owner);
    }
  g_assert_cmpuint (n_owned[0] + n_owned[1] + n_owned[2], ==, 300);
  for (size_t i = 0; i < 3; i++)
    g_assert_cmpuint (n_owned[i], >, 60);
}

static void
test_slots_are_freed_once (void)
{
  slots_t *slots = open_slots (0);
  slot_token_t tokens[3];
  slot_token_t none;
  usec_t deadline = quiet_until + USEC_PER_SEC;
  for (size_t i = 0; i < 3; i++)
    g_assert_cmpint (
        slots_admit (slots, BACKEND, deadline, quiet_until, &tokens[i]), ==,
        SLOT_GRANTED);
  g_assert_cmpint (slots_admit (slots, BACKEND, deadline, quiet_until, &none),
                   ==, SLOT_FULL);
  g_assert_true (slots_release (slots, &tokens[0]));
  g_assert_false (slots_release (slots, &tokens[0]));
  g_assert_cmpint (slots_admit (slots, BACKEND, deadline, quiet_until, &none),
                   ==, SLOT_GRANTED);
  /* The former holder's token doesn't free the new one's slot.  */
  g_assert_false (slots_release (slots, &tokens[0]));
  g_assert_cmpuint (slots_used (slots, BACKEND), ==, 3);
  slots_free (slots);
}

static void
test_cancelled_slot_waits_for_the_deadline (void)
{
  slots_t *slots = open_slots (0);
  slot_token_t token;
  usec_t deadline = quiet_until + USEC_PER_SEC;
  slots_admit (slots, BACKEND, deadline, quiet_until, &token);
  g_assert_true (slots_cancel (slots, &token));
  g_assert_false (slots_may_send (slots, &token, quiet_until));
  g_assert_cmpuint (slots_tick (slots, deadline), ==, 0);
  g_assert_cmpuint (slots_tick (slots, deadline + stop_margin), ==, 1);
  g_assert_false (slots_release (slots, &token));
  g_assert_cmpuint (slots_used (slots, BACKEND), ==, 0);
  slots_free (slots);
}

static void
test_restarted_owner_is_quiet (void)
{
  slots_t *slots = open_slots (USEC_PER_SEC);
  slot_token_t token;
  usec_t over = USEC_PER_SEC + quiet_until;
  g_assert_cmpint (slots_admit (slots, BACKEND, over + 5, over - 1, &token),
                   ==, SLOT_STARTUP_WAIT);
  g_assert_false (slots_open_connection (slots, BACKEND, over - 1));
  g_assert_cmpint (slots_admit (slots, BACKEND, over + 5, over, &token), ==,
                   SLOT_GRANTED);
  g_assert_true (slots_may_send (slots, &token, over + 4));
  g_assert_false (slots_may_send (slots, &token, over + 5));
  slots_free (slots);
}

static void
test_slots_refuse (void)
{
  slots_t *slots = open_slots (0);
  slot_token_t token;
  usec_t due = quiet_until + longest_deadline;
  g_assert_cmpint (slots_admit (slots, BACKEND, due + 1, quiet_until, &token),
                   ==, SLOT_DEADLINE);
  g_assert_cmpint (slots_admit (slots, 0, due, quiet_until, &token), ==,
                   SLOT_NO_BACKEND);
  slots_set_draining (slots, BACKEND, true);
  g_assert_cmpint (slots_admit (slots, BACKEND, due, quiet_until, &token), ==,
                   SLOT_DRAINING);
  g_assert_true (slots_open_connection (slots, BACKEND, quiet_until));
  g_assert_true (slots_open_connection (slots, BACKEND, quiet_until));
  g_assert_false (slots_open_connection (slots, BACKEND, quiet_until));
  slots_close_connection (slots, BACKEND);
  g_assert_true (slots_open_connection (slots, BACKEND, quiet_until));
  slots_free (slots);
}

/* Every request fails: the extra attempts stay within the share.  */
static void
test_retry_budget_in_an_outage (void)
{
  retry_budget_t budget;
  retry_budget_init (&budget, 100, 10);
  uint64_t n_extra = 0;
  for (uint64_t i = 1; i <= 10000; i++)
    {
      retry_budget_deposit (&budget);
      for (int attempt = 0; attempt < 3; attempt++)
        n_extra += retry_budget_withdraw (&budget);
      g_assert_cmpuint (n_extra * 10, <=, i);
    }
  g_assert_cmpuint (n_extra, ==, 1000);
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
  quarantine_t *here = open_quarantine (1);
  fingerprint_t poison = fingerprint_of ("/poison");
  const fingerprint_t both[] = { poison, fingerprint_of ("/innocent") };
  usec_t now = USEC_PER_SEC;
  g_assert_cmpint (quarantine_check (here, poison, 1, now), ==,
                   QUARANTINE_ALLOW);
  g_assert_true (quarantine_on_crash (here, 1, both, 2, now));
  /* Both are suspects, and run one at a time on a backend server.  */
  now += 10 * USEC_PER_SEC;
  g_assert_cmpint (quarantine_check (here, both[1], 2, now), ==,
                   QUARANTINE_ALLOW_ALONE);
  quarantine_on_send (here, both[1], 2, now);
  g_assert_cmpint (quarantine_check (here, poison, 2, now), ==,
                   QUARANTINE_TRY_ELSEWHERE);
  g_assert_cmpint (quarantine_check (here, both[1], 3, now), ==,
                   QUARANTINE_TRY_ELSEWHERE);
  quarantine_on_end (here, both[1], 2, true, now);
  g_assert_cmpint (quarantine_check (here, both[1], 2, now), ==,
                   QUARANTINE_ALLOW);
  quarantine_on_send (here, poison, 2, now);
  quarantine_on_crash (here, 2, both, 1, now);
  g_assert_cmpint (quarantine_check (here, poison, 4, now), ==,
                   QUARANTINE_REFUSE);
  g_assert_cmpuint (quarantine_count (here, now), ==, 1);
  now += 600 * USEC_PER_SEC;
  g_assert_cmpint (quarantine_check (here, poison, 4, now), ==,
                   QUARANTINE_ALLOW);
  quarantine_free (here);
}

/* Each VM sees one crash; both refuse after they heard of each other, in
   any order and any number of times, and forget in time.  */
static void
test_quarantine_spreads (void)
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
  /* Messages that go to and fro keep nothing alive.  */
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

/* Crashes, whole answers and messages in a random order, some lost; once all
   heard from all, all judge alike.  */
static void
test_quarantine_converges (void)
{
  enum
  {
    N_VMS = 3,
    N_PRINTS = 4,
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
          fingerprint_t print = { .low = random_below (&random, N_PRINTS) };
          quarantine_message_t message;
          switch (random_below (&random, 4))
            {
            case 0:
              if (i < N_CRASHES)
                quarantine_on_crash (vms[vm], 1, &print, 1, now);
              break;
            case 1:
              quarantine_on_end (vms[vm], print, 1, true, now);
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
      for (uint64_t i = 0; i < N_PRINTS; i++)
        for (size_t vm = 1; vm < N_VMS; vm++)
          g_assert_cmpint (
              quarantine_check (vms[vm], (fingerprint_t){ .low = i }, 1, now),
              ==,
              quarantine_check (vms[0], (fingerprint_t){ .low = i }, 1, now));
      for (size_t i = 0; i < N_VMS; i++)
        quarantine_free (vms[i]);
    }
}

/* A rack goes: many requests were in flight on two backend servers each.  */
static void
test_wide_crash_quarantines_nobody (void)
{
  quarantine_t *here = open_quarantine (1);
  fingerprint_t popular = fingerprint_of ("/popular");
  for (uint32_t backend = 0; backend < QUARANTINE_CORRELATED_CRASHES;
       backend++)
    quarantine_on_crash (here, backend, &popular, 1,
                         USEC_PER_SEC + backend * USEC_PER_MSEC);
  g_assert_cmpint (quarantine_check (here, popular, 7, 2 * USEC_PER_SEC), ==,
                   QUARANTINE_ALLOW_ALONE);
  quarantine_free (here);
}

static void
test_quarantine_is_bounded (void)
{
  quarantine_t *here = open_quarantine (1);
  fingerprint_t poison = fingerprint_of ("/poison");
  quarantine_on_crash (here, 1, &poison, 1, 0);
  quarantine_on_crash (here, 2, &poison, 1, 5 * USEC_PER_SEC);
  for (int i = 0; i < 100; i++)
    {
      char path[32];
      g_snprintf (path, sizeof path, "/%d", i);
      fingerprint_t other = fingerprint_of (path);
      quarantine_on_crash (here, 3, &other, 1, (10 + 5 * i) * USEC_PER_SEC);
    }
  /* The quarantined one stays, the suspects make room for each other.  */
  g_assert_cmpint (quarantine_check (here, poison, 4, 510 * USEC_PER_SEC), ==,
                   QUARANTINE_REFUSE);
  quarantine_free (here);
}

/* An idempotent request: tried elsewhere within the budget; an answer under
   another id, or one whose end can't be told, is not passed on.  */
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
  /* The first attempt may have run: a refusal of the second is unknown.  */
  const request_event_t nowhere
      = { .kind = EVENT_NOT_PLACED, .as.reason = REASON_NO_CAPACITY };
  request_on_event (&request, &nowhere, &budget, &counters, 2, &actions);
  g_assert_cmpint (actions.items[0].kind, ==, ACTION_REPORT_OUTCOME);
  g_assert_cmpint (actions.items[0].as.outcome.kind, ==, OUTCOME_UNKNOWN);
}

/* The connection of the first send is heard to break after the second one
   began.  */
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
count_frees (const request_actions_t *actions)
{
  size_t n = 0;
  for (size_t i = 0; i < actions->n; i++)
    n += actions->items[i].kind == ACTION_RELEASE_SLOT;
  return n;
}

/* The caller goes while the claim is under way; whatever is heard later, the
   slot is given back once, and a claim that was won is released.  */
static void
test_abandoned_request_frees_its_slot_once (void)
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
  size_t n_frees = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    {
      const request_event_t event = { .kind = events[i] };
      request_on_event (&request, &event, &budget, &counters, 1, &actions);
      n_frees += count_frees (&actions);
      if (events[i] != EVENT_CANCEL)
        continue;
      request_t before = request;
      request_event_t won = { .kind = EVENT_CLAIM_SETTLED };
      won.as.claim.phase = CLAIM_WON;
      request_on_event (&before, &won, &budget, &counters, 2, &actions);
      g_assert_cmpuint (actions.n, ==, 1);
      g_assert_cmpint (actions.items[0].kind, ==, ACTION_RELEASE_CLAIM);
    }
  g_assert_cmpuint (n_frees, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slots/owner", test_slots_have_one_owner);
  g_test_add_func ("/slots/once", test_slots_are_freed_once);
  g_test_add_func ("/slots/cancel",
                   test_cancelled_slot_waits_for_the_deadline);
  g_test_add_func ("/slots/quiet", test_restarted_owner_is_quiet);
  g_test_add_func ("/slots/refuse", test_slots_refuse);
  g_test_add_func ("/retry-budget/outage", test_retry_budget_in_an_outage);
  g_test_add_func ("/quarantine/culprit",
                   test_two_crashes_quarantine_the_culprit_alone);
  g_test_add_func ("/quarantine/spreads", test_quarantine_spreads);
  g_test_add_func ("/quarantine/converges", test_quarantine_converges);
  g_test_add_func ("/quarantine/wide", test_wide_crash_quarantines_nobody);
  g_test_add_func ("/quarantine/bounded", test_quarantine_is_bounded);
  g_test_add_func ("/request/idempotent", test_idempotent_request_retries);
  g_test_add_func ("/request/late-failure",
                   test_late_failure_leaves_the_next_send_alone);
  g_test_add_func ("/request/abandoned",
                   test_abandoned_request_frees_its_slot_once);
  return g_test_run ();
}
