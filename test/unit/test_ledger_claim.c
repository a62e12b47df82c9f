/* Tests of a claim with three replicas, each of which has its own ledger.  */

#include <glib.h>

#include "ledger/claim.h"
#include "ledger/ledger.h"

enum
{
  N_REPLICAS = 3,
};

static const usec_t vote_timeout = 50 * USEC_PER_MSEC;
static const usec_t claim_deadline = 2 * USEC_PER_SEC;

typedef struct replicas
{
  ledger_t *ledgers[N_REPLICAS];
  bool dead[N_REPLICAS];   /* each request fails at once */
  bool silent[N_REPLICAS]; /* never answers */
  usec_t now;
} replicas_t;

static void
restart_replica (replicas_t *replicas, vm_id_t vm, uint64_t incarnation)
{
  ledger_free (replicas->ledgers[vm]);
  const ledger_options_t options = { .self = vm,
                                     .incarnation = incarnation,
                                     .max_vms = N_REPLICAS,
                                     .max_claims = 8,
                                     .max_total_body_bytes = 100,
                                     .max_body_bytes = 100,
                                     .ticket_lifetime = 60 * USEC_PER_SEC };
  replicas->ledgers[vm] = ledger_new (&options, 0, NULL);
}

static void
open_all (replicas_t *replicas)
{
  *replicas = (replicas_t){ 0 };
  for (int i = 0; i < N_REPLICAS; i++)
    restart_replica (replicas, (vm_id_t)i, 1);
}

static void
close_all (replicas_t *replicas)
{
  for (size_t i = 0; i < N_REPLICAS; i++)
    ledger_free (replicas->ledgers[i]);
}

static claim_options_t
options_for (uint64_t attempt, claim_intent_t intent)
{
  claim_options_t options
      = { .order = CLAIM_ORDER_SEQUENTIAL,
          .intent = intent,
          .attempt = { .incarnation = 1, .number = attempt },
          .vote_timeout = vote_timeout,
          .contention_backoff = 10 * USEC_PER_MSEC,
          .poll_interval = 100 * USEC_PER_MSEC,
          .deadline = claim_deadline };
  options.ticket = (ticket_t){ .id = { .issuer_incarnation = 1 },
                               .generation = 1,
                               .n_replicas = N_REPLICAS };
  for (int i = 0; i < N_REPLICAS; i++)
    options.ticket.replicas[i]
        = (ticket_replica_t){ .vm = (vm_id_t)i, .incarnation = 1 };
  return options;
}

static void
deliver (replicas_t *replicas, claim_t *claim,
         const claim_requests_t *requests)
{
  for (size_t i = 0; i < requests->n; i++)
    {
      size_t replica = requests->items[i].replica;
      if (replicas->silent[replica])
        continue;
      claim_requests_t next = { 0 };
      if (replicas->dead[replica])
        claim_on_failure (claim, replica, replicas->now, &next);
      else
        {
          ledger_request_t request
              = claim_make_request (claim, requests->items[i].op);
          request.outcome = (outcome_t){
            .status = 201, .body_kept = true, .n_body = 2, .body = "ok"
          };
          ledger_vote_t vote = ledger_on_request (replicas->ledgers[replica],
                                                  &request, replicas->now);
          claim_on_vote (claim, replica, &vote, replicas->now, &next);
        }
      deliver (replicas, claim, &next);
    }
}

/* Advance the time until the claim settles, by its deadline at the latest.  */
static claim_phase_t
run_until_settled (replicas_t *replicas, claim_t *claim)
{
  while (!claim_is_settled (claim))
    {
      usec_t due = claim_wakeup (claim);
      g_assert_cmpint (due, >=, replicas->now);
      g_assert_cmpint (due, <=, claim_deadline);
      replicas->now = due;
      claim_requests_t requests = { 0 };
      claim_tick (claim, replicas->now, &requests);
      deliver (replicas, claim, &requests);
    }
  return claim->phase;
}

static claim_phase_t
run_claim (replicas_t *replicas, claim_t *claim, uint64_t attempt,
           claim_intent_t intent, uint32_t generation)
{
  claim_options_t options = options_for (attempt, intent);
  options.ticket.generation = generation;
  claim_requests_t requests = { 0 };
  claim_start (claim, &options, replicas->now, &requests);
  deliver (replicas, claim, &requests);
  return run_until_settled (replicas, claim);
}

static void
test_claim_with_unreachable_replicas (void)
{
  for (int mask = 0; mask < 1 << N_REPLICAS; mask++)
    for (int silent = 0; silent < 2; silent++)
      {
        replicas_t replicas;
        open_all (&replicas);
        for (int i = 0; i < N_REPLICAS; i++)
          {
            bool is_lost = mask & 1 << i;
            replicas.dead[i] = is_lost && !silent;
            replicas.silent[i] = is_lost && silent;
          }
        bool has_majority = __builtin_popcount ((unsigned)mask) <= 1;
        claim_t claim;
        g_assert_cmpint (run_claim (&replicas, &claim, 1, CLAIM_TO_RUN, 1), ==,
                         has_majority ? CLAIM_WON : CLAIM_UNKNOWN);
        g_assert_true (has_majority || claim.cause == CLAIM_CAUSE_UNREACHABLE);
        close_all (&replicas);
      }
}

static void
test_second_attempt_gets_the_outcome (void)
{
  replicas_t replicas;
  open_all (&replicas);
  claim_t first;
  g_assert_cmpint (run_claim (&replicas, &first, 1, CLAIM_TO_RUN, 1), ==,
                   CLAIM_WON);
  claim_t second;
  g_assert_cmpint (run_claim (&replicas, &second, 2, CLAIM_TO_RUN, 1), ==,
                   CLAIM_UNKNOWN);
  g_assert_cmpint (second.cause, ==, CLAIM_CAUSE_HELD);
  replicas.now = 0;
  g_assert_cmpint (run_claim (&replicas, &second, 3, CLAIM_TO_REFUSE, 1), ==,
                   CLAIM_UNKNOWN);
  claim_requests_t requests;
  claim_record (&first, &requests);
  g_assert_cmpuint (requests.n, ==, N_REPLICAS);
  deliver (&replicas, &first, &requests);
  replicas.now = 0;
  g_assert_cmpint (run_claim (&replicas, &second, 4, CLAIM_TO_RUN, 1), ==,
                   CLAIM_DONE);
  g_assert_cmpuint (second.outcome.status, ==, 201);
  g_assert_cmpmem (second.outcome.body, second.outcome.n_body, "ok", 2);
  claim_destroy (&second);
  close_all (&replicas);
}

/* Guards against a resend that ends as "unknown" although the outcome is
   recorded in time: while one attempt runs, another one waits and then
   receives the recorded outcome.  */
static void
test_waiting_attempt_sees_the_record (void)
{
  replicas_t replicas;
  open_all (&replicas);
  claim_t first;
  run_claim (&replicas, &first, 1, CLAIM_TO_RUN, 1);
  claim_t second;
  claim_options_t options = options_for (2, CLAIM_TO_RUN);
  claim_requests_t requests = { 0 };
  claim_start (&second, &options, 0, &requests);
  deliver (&replicas, &second, &requests);
  replicas.now = claim_wakeup (&second);
  claim_tick (&second, replicas.now, &requests);
  deliver (&replicas, &second, &requests);
  g_assert_cmpint (second.phase, ==, CLAIM_WAITING);
  claim_record (&first, &requests);
  deliver (&replicas, &first, &requests);
  g_assert_cmpint (run_until_settled (&replicas, &second), ==, CLAIM_DONE);
  g_assert_cmpint (replicas.now, <=, 200 * USEC_PER_MSEC);
  claim_destroy (&second);
  close_all (&replicas);
}

static void
test_released_claim_starts_a_generation (void)
{
  replicas_t replicas;
  open_all (&replicas);
  claim_t claim;
  run_claim (&replicas, &claim, 1, CLAIM_TO_RUN, 1);
  claim_requests_t requests;
  claim_release (&claim, &requests);
  g_assert_cmpint (claim.phase, ==, CLAIM_REFUSED);
  g_assert_cmpuint (claim.generation, ==, 1);
  deliver (&replicas, &claim, &requests);
  g_assert_cmpint (run_claim (&replicas, &claim, 2, CLAIM_TO_RUN, 1), ==,
                   CLAIM_REFUSED);
  g_assert_cmpint (run_claim (&replicas, &claim, 3, CLAIM_TO_RUN, 2), ==,
                   CLAIM_WON);
  close_all (&replicas);
}

/* Guards against a run after "not run": the claim of a delayed attempt reaches
   the replicas after the refusal.  */
static void
test_refusal_stops_a_delayed_attempt (void)
{
  replicas_t replicas;
  open_all (&replicas);
  claim_t claim;
  g_assert_cmpint (run_claim (&replicas, &claim, 1, CLAIM_TO_REFUSE, 1), ==,
                   CLAIM_REFUSED);
  g_assert_cmpint (run_claim (&replicas, &claim, 2, CLAIM_TO_RUN, 1), ==,
                   CLAIM_REFUSED);
  close_all (&replicas);
}

static void
test_restarted_replicas_never_vote_again (void)
{
  replicas_t replicas;
  open_all (&replicas);
  claim_t claim;
  run_claim (&replicas, &claim, 1, CLAIM_TO_RUN, 1);
  restart_replica (&replicas, 0, 2);
  restart_replica (&replicas, 1, 2);
  g_assert_cmpint (run_claim (&replicas, &claim, 2, CLAIM_TO_RUN, 1), ==,
                   CLAIM_UNKNOWN);
  g_assert_cmpint (claim.cause, ==, CLAIM_CAUSE_RESTARTED);
  close_all (&replicas);
}

/* Guards against a claim that is given up, long before its deadline, because
   the replicas vote late.  */
static void
test_late_votes_are_waited_for (void)
{
  replicas_t replicas;
  open_all (&replicas);
  claim_t claim;
  claim_options_t options = options_for (1, CLAIM_TO_RUN);
  options.collect_until = 8 * vote_timeout;
  claim_requests_t requests = { 0 };
  claim_start (&claim, &options, 0, &requests);
  for (usec_t late_at = vote_timeout; late_at <= 3 * vote_timeout;
       late_at += vote_timeout)
    {
      g_assert_cmpint (claim_wakeup (&claim), ==, late_at);
      claim_tick (&claim, late_at, &requests);
    }
  g_assert_cmpint (claim_wakeup (&claim), ==, options.collect_until);
  ledger_vote_t vote = { .kind = VOTE_GRANTED, .generation = 1 };
  claim_on_vote (&claim, 2, &vote, 5 * vote_timeout, &requests);
  claim_on_vote (&claim, 0, &vote, 7 * vote_timeout, &requests);
  g_assert_cmpint (claim.phase, ==, CLAIM_WON);
  close_all (&replicas);
}

/* Votes that don't come by then leave time to learn that nothing will run.  */
static void
test_late_votes_are_given_up (void)
{
  replicas_t replicas;
  open_all (&replicas);
  replicas.silent[0] = replicas.silent[1] = true;
  claim_t claim;
  claim_options_t options = options_for (1, CLAIM_TO_RUN);
  options.collect_until = 8 * vote_timeout;
  claim_requests_t requests = { 0 };
  claim_start (&claim, &options, 0, &requests);
  while (claim.phase == CLAIM_COLLECTING)
    {
      replicas.now = claim_wakeup (&claim);
      claim_tick (&claim, replicas.now, &requests);
    }
  g_assert_cmpint (replicas.now, ==, options.collect_until);
  replicas.silent[0] = replicas.silent[1] = false;
  g_assert_cmpint (run_until_settled (&replicas, &claim), ==, CLAIM_REFUSED);
  close_all (&replicas);
}

/* Guards against two attempts that block each other.  Each holds one vote and
   the third replica is dead; both release their votes and learn that nothing
   ran.  */
static void
test_split_votes_end_as_not_run (void)
{
  replicas_t replicas;
  open_all (&replicas);
  claim_t claims[2];
  claim_requests_t requests[2] = { 0 };
  for (size_t i = 0; i < 2; i++)
    {
      claim_options_t options = options_for (i + 1, CLAIM_TO_RUN);
      options.order = CLAIM_ORDER_PARALLEL;
      claim_start (&claims[i], &options, 0, &requests[i]);
      g_assert_cmpuint (requests[i].n, ==, N_REPLICAS);
    }
  replicas.dead[2] = true;
  /* The first message of each attempt arrives first at a different
     replica.  */
  for (size_t i = 0; i < 2; i++)
    {
      claim_requests_t first_request = { .n = 1 };
      first_request.items[0] = requests[i].items[i];
      deliver (&replicas, &claims[i], &first_request);
    }
  for (size_t i = 0; i < 2; i++)
    deliver (&replicas, &claims[i], &requests[i]);
  for (size_t i = 0; i < 2; i++)
    {
      g_assert_cmpint (run_until_settled (&replicas, &claims[i]), ==,
                       CLAIM_REFUSED);
      g_assert_cmpuint (claims[i].generation, ==, 1);
    }
  close_all (&replicas);
}

/* Guards against a ticket that stays blocked after a crash: a claimant that
   crashed while it held one vote doesn't keep another attempt from winning. */
static void
test_crashed_minority_does_not_block (void)
{
  replicas_t replicas;
  open_all (&replicas);
  claim_t crashed;
  claim_options_t options = options_for (1, CLAIM_TO_RUN);
  claim_requests_t requests = { 0 };
  claim_start (&crashed, &options, 0, &requests);
  ledger_request_t request = claim_make_request (&crashed, LEDGER_CLAIM);
  ledger_on_request (replicas.ledgers[0], &request, 0);
  claim_t claim;
  g_assert_cmpint (run_claim (&replicas, &claim, 2, CLAIM_TO_RUN, 1), ==,
                   CLAIM_WON);
  close_all (&replicas);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/claim/lost-replicas",
                   test_claim_with_unreachable_replicas);
  g_test_add_func ("/claim/outcome", test_second_attempt_gets_the_outcome);
  g_test_add_func ("/claim/waiting", test_waiting_attempt_sees_the_record);
  g_test_add_func ("/claim/released", test_released_claim_starts_a_generation);
  g_test_add_func ("/claim/refusal", test_refusal_stops_a_delayed_attempt);
  g_test_add_func ("/claim/restarted",
                   test_restarted_replicas_never_vote_again);
  g_test_add_func ("/claim/late", test_late_votes_are_waited_for);
  g_test_add_func ("/claim/late-given-up", test_late_votes_are_given_up);
  g_test_add_func ("/claim/split", test_split_votes_end_as_not_run);
  g_test_add_func ("/claim/crashed", test_crashed_minority_does_not_block);
  return g_test_run ();
}
