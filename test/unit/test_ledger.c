/* Tests of tickets and of one replica's store of claims.  */

#include <glib.h>
#include <string.h>

#include "ledger/ledger.h"

enum
{
  SELF = 2,
  INCARNATION = 7,
  ISSUER = 1,
};

static const usec_t ticket_lifetime = 60 * USEC_PER_SEC;
static const ticket_key_t shared_key
    = { .bytes = "0123456789abcdef0123456789abcde" };

static ticket_candidate_t
candidate (vm_id_t vm, domain_id_t domain, region_id_t region)
{
  return (ticket_candidate_t){ .vm = vm,
                               .incarnation = 100u + vm,
                               .domain = domain,
                               .region = region,
                               .reachable = true };
}

static ticket_t
issue (const ticket_candidate_t *candidates, size_t n)
{
  random_state_t random;
  random_seed (&random, 3);
  const ticket_issue_options_t options = { .issuer = 0,
                                           .incarnation = 100,
                                           .sequence = 5,
                                           .now = 9 * USEC_PER_SEC,
                                           .candidates = candidates,
                                           .n_candidates = n };
  ticket_t ticket;
  err_t err = { 0 };
  g_assert_true (ticket_issue (&ticket, &options, &random, &err));
  return ticket;
}

static void
test_ticket_prefers_other_domains (void)
{
  ticket_candidate_t candidates[]
      = { candidate (0, 0, 0), candidate (1, 0, 0), candidate (2, 1, 0),
          candidate (3, 2, 1), candidate (4, 3, 1) };
  ticket_t ticket = issue (candidates, 5);
  g_assert_cmpuint (ticket.n_replicas, ==, 3);
  g_assert_cmpuint (ticket.replicas[0].vm, ==, 0);
  g_assert_cmpuint (ticket.replicas[1].vm, ==, 2);
  g_assert_cmpuint (ticket.replicas[2].vm, >=, 3);
  g_assert_cmpuint (ticket.replicas[2].incarnation, ==,
                    100u + ticket.replicas[2].vm);
}

static void
test_ticket_with_few_reachable_candidates (void)
{
  ticket_candidate_t candidates[]
      = { candidate (0, 0, 0), candidate (1, 0, 0), candidate (2, 1, 0),
          candidate (3, 0, 0) };
  candidates[2].reachable = false;
  ticket_t ticket = issue (candidates, 4);
  g_assert_cmpuint (ticket.n_replicas, ==, 3);
  /* Two replicas tolerate no failure, like one, so one is used.  */
  ticket = issue (candidates, 3);
  g_assert_cmpuint (ticket.n_replicas, ==, 1);
  g_assert_cmpuint (ticket_majority (&ticket), ==, 1);
}

static void
test_ticket_text_round_trip (void)
{
  ticket_candidate_t candidates[]
      = { candidate (0, 0, 0), candidate (2, 1, 0), candidate (3, 2, 1) };
  ticket_t ticket = issue (candidates, 3);
  char text[TICKET_TEXT_BYTES];
  ticket_format (text, &ticket, &shared_key);
  ticket_t parsed;
  err_t err = { 0 };
  g_assert_true (ticket_parse (&parsed, text, &shared_key, &err));
  char formatted[TICKET_TEXT_BYTES];
  ticket_format (formatted, &parsed, &shared_key);
  g_assert_cmpstr (text, ==, formatted);
  g_assert_true (ticket_id_equal (&ticket.id, &parsed.id));
  g_assert_cmpint (parsed.issued_at, ==, ticket.issued_at);
}

static void
test_ticket_refuses_changed_text (void)
{
  ticket_candidate_t candidates[]
      = { candidate (0, 0, 0), candidate (2, 1, 0), candidate (3, 2, 1) };
  ticket_t ticket = issue (candidates, 3);
  char text[TICKET_TEXT_BYTES];
  ticket_format (text, &ticket, &shared_key);
  err_t err = { 0 };
  ticket_t parsed;
  for (size_t i = 0; text[i] != '\0'; i++)
    {
      char changed[TICKET_TEXT_BYTES];
      memcpy (changed, text, sizeof changed);
      changed[i] = changed[i] == '1' ? '2' : '1';
      g_assert_false (ticket_parse (&parsed, changed, &shared_key, &err));
      g_assert_true (err.kind == ERR_AUTH || err.kind == ERR_PROTOCOL);
    }
  const char *const invalid[]
      = { "", "1", "x", "1.0.1.1.1.1.9.0.0.0", "1.-1" };
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_assert_false (ticket_parse (&parsed, invalid[i], &shared_key, &err));
      g_assert_cmpint (err.kind, ==, ERR_PROTOCOL);
    }
}

static ledger_t *
open_ledger (size_t max_claims)
{
  const ledger_options_t options = { .self = SELF,
                                     .incarnation = INCARNATION,
                                     .max_vms = 8,
                                     .max_claims = max_claims,
                                     .max_total_body_bytes = 8,
                                     .max_body_bytes = 6,
                                     .ticket_lifetime = ticket_lifetime,
                                     .drift_ppm = 1000 };
  ledger_t *ledger = ledger_new (&options, 0, NULL);
  g_assert_nonnull (ledger);
  return ledger;
}

static ledger_request_t
make_request (ledger_op_t op, uint64_t sequence, uint64_t attempt)
{
  ledger_request_t request
      = { .op = op,
          .attempt = { .vm = 1, .incarnation = 1, .number = attempt },
          .fingerprint = { .low = 1, .high = 2 } };
  request.ticket = (ticket_t){
    .id
    = { .issuer = ISSUER, .issuer_incarnation = 100, .sequence = sequence },
    .generation = 1,
    .issued_at = 1000 * USEC_PER_SEC,
    .n_replicas = 3,
    .replicas = { { .vm = ISSUER, .incarnation = 100 },
                  { .vm = SELF, .incarnation = INCARNATION },
                  { .vm = 3, .incarnation = 1 } }
  };
  return request;
}

static vote_kind_t
vote_for (ledger_t *ledger, ledger_op_t op, uint64_t sequence,
          uint64_t attempt, uint32_t generation, usec_t now)
{
  ledger_request_t request = make_request (op, sequence, attempt);
  request.ticket.generation = generation;
  return ledger_on_request (ledger, &request, now).kind;
}

static void
test_claim_has_one_holder (void)
{
  ledger_t *ledger = open_ledger (4);
  g_assert_cmpint (vote_for (ledger, LEDGER_QUERY, 1, 1, 1, 0), ==, VOTE_FREE);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 1, 1, 0), ==,
                   VOTE_GRANTED);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 1, 1, 0), ==,
                   VOTE_GRANTED);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 2, 1, 0), ==, VOTE_HELD);
  g_assert_cmpint (vote_for (ledger, LEDGER_RELEASE, 1, 2, 1, 0), ==,
                   VOTE_HELD);
  g_assert_cmpint (vote_for (ledger, LEDGER_RELEASE, 1, 1, 1, 0), ==,
                   VOTE_RELEASED);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 1, 1, 0), ==,
                   VOTE_RELEASED);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 2, 1, 0), ==,
                   VOTE_RELEASED);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 2, 2, 0), ==,
                   VOTE_GRANTED);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 1, 1, 0), ==, VOTE_HELD);
  ledger_free (ledger);
}

/* Guards against a grant to an attempt that has given up: its release arrives
   before its claim.  */
static void
test_release_overtakes_claim (void)
{
  ledger_t *ledger = open_ledger (4);
  g_assert_cmpint (vote_for (ledger, LEDGER_RELEASE, 1, 1, 1, 0), ==,
                   VOTE_RELEASED);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 1, 1, 0), ==,
                   VOTE_RELEASED);
  ledger_free (ledger);
}

static void
test_record_is_kept_within_bounds (void)
{
  ledger_t *ledger = open_ledger (4);
  for (uint64_t i = 1; i <= 3; i++)
    {
      ledger_request_t request = make_request (LEDGER_RECORD, i, 1);
      request.outcome = (outcome_t){ .status = 201,
                                     .body_kept = true,
                                     .n_body = i == 3 ? 7 : 5,
                                     .body = "whole.." };
      ledger_vote_t vote = ledger_on_request (ledger, &request, 0);
      g_assert_cmpint (vote.kind, ==, VOTE_DONE);
      g_assert_cmpuint (vote.outcome.status, ==, 201);
      /* The second body exceeds max_total_body_bytes, the third one
         max_body_bytes.  */
      g_assert_cmpint (vote.outcome.body_kept, ==, i == 1);
    }
  ledger_request_t request = make_request (LEDGER_CLAIM, 1, 9);
  request.ticket.generation = 5;
  ledger_vote_t vote = ledger_on_request (ledger, &request, 0);
  g_assert_cmpint (vote.kind, ==, VOTE_DONE);
  g_assert_cmpmem (vote.outcome.body, vote.outcome.n_body, "whole", 5);
  request.fingerprint.low++;
  g_assert_cmpint (ledger_on_request (ledger, &request, 0).kind, ==,
                   VOTE_CONFLICT);
  ledger_free (ledger);
}

/* Guards against a restarted replica that votes although it lost its
   claims.  */
static void
test_earlier_incarnation_never_votes (void)
{
  ledger_t *ledger = open_ledger (4);
  const ledger_op_t ops[] = { LEDGER_CLAIM, LEDGER_RELEASE, LEDGER_RECORD };
  for (size_t i = 0; i < G_N_ELEMENTS (ops); i++)
    {
      ledger_request_t request = make_request (ops[i], 1, 1);
      request.ticket.replicas[1].incarnation = INCARNATION - 1;
      g_assert_cmpint (ledger_on_request (ledger, &request, 0).kind, ==,
                       VOTE_NOT_A_REPLICA);
    }
  g_assert_cmpuint (ledger_stats (ledger).claims, ==, 0);
  ledger_free (ledger);
}

/* Guards against a full replica that refuses a generation, so that it is
   reported as "not run", and grants it later when a record is free.  */
static void
test_full_ledger_refuses_for_good (void)
{
  ledger_t *ledger = open_ledger (2);
  vote_for (ledger, LEDGER_CLAIM, 1, 1, 1, 0);
  vote_for (ledger, LEDGER_CLAIM, 2, 1, 1, 0);
  ledger_request_t request = make_request (LEDGER_CLAIM, 3, 1);
  request.ticket.issued_at += 2 * ticket_lifetime / 3;
  request.ticket.generation = 2;
  g_assert_cmpint (ledger_on_request (ledger, &request, 0).kind, ==,
                   VOTE_FULL);
  /* The other two claims expire and leave a free record, but generation 2
     stays refused.  */
  usec_t later = ticket_lifetime / 2;
  request.ticket.generation = 1;
  g_assert_cmpint (ledger_on_request (ledger, &request, later).kind, ==,
                   VOTE_GRANTED);
  request.ticket.generation = 2;
  g_assert_cmpint (ledger_on_request (ledger, &request, later).kind, ==,
                   VOTE_FULL);
  request.ticket.generation = 3;
  g_assert_cmpint (ledger_on_request (ledger, &request, later).kind, ==,
                   VOTE_GRANTED);
  ledger_free (ledger);
}

/* Guards against a second run of a ticket whose claim was dropped.  Where an
   issuer is no longer heard, its tickets expire by the replica's own clock,
   less the drift; an expired ticket is never granted again.  */
static void
test_expiry_is_final (void)
{
  ledger_t *ledger = open_ledger (2);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 1, 1, 0), ==,
                   VOTE_GRANTED);
  g_assert_cmpuint (ledger_sweep (ledger, 10, ticket_lifetime), ==, 0);
  usec_t expiry = ticket_lifetime + ticket_lifetime / 500;
  g_assert_cmpuint (ledger_sweep (ledger, 10, expiry), ==, 1);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 2, 1, expiry), ==,
                   VOTE_EXPIRED);
  /* The ticket stays expired after newer incarnations of its issuer have
     replaced the reading of this one.  */
  for (uint64_t i = 101; i < 110; i++)
    ledger_on_heartbeat (ledger, ISSUER, i, 0, expiry);
  g_assert_cmpint (vote_for (ledger, LEDGER_CLAIM, 1, 2, 1, expiry), ==,
                   VOTE_EXPIRED);
  ledger_free (ledger);
}

static void
test_ledger_refuses_options_out_of_range (void)
{
  const ledger_options_t options = { .max_claims = 0 };
  err_t err = { 0 };
  g_assert_null (ledger_new (&options, 0, &err));
  g_assert_cmpint (err.kind, ==, ERR_SETTINGS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ledger/ticket/domains",
                   test_ticket_prefers_other_domains);
  g_test_add_func ("/ledger/ticket/cut-off",
                   test_ticket_with_few_reachable_candidates);
  g_test_add_func ("/ledger/ticket/text", test_ticket_text_round_trip);
  g_test_add_func ("/ledger/ticket/changed", test_ticket_refuses_changed_text);
  g_test_add_func ("/ledger/store/holder", test_claim_has_one_holder);
  g_test_add_func ("/ledger/store/overtake", test_release_overtakes_claim);
  g_test_add_func ("/ledger/store/record", test_record_is_kept_within_bounds);
  g_test_add_func ("/ledger/store/incarnation",
                   test_earlier_incarnation_never_votes);
  g_test_add_func ("/ledger/store/full", test_full_ledger_refuses_for_good);
  g_test_add_func ("/ledger/store/expiry", test_expiry_is_final);
  g_test_add_func ("/ledger/store/bounds",
                   test_ledger_refuses_options_out_of_range);
  return g_test_run ();
}
