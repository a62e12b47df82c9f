/* Classification of answers.  Guards against passing a wrong answer on to the
   caller, and against sending a request that may have run to another backend
   server.  */

#include <glib.h>

#include "balance/answer_class.h"

static answer_facts_t
good_answer (void)
{
  return (answer_facts_t){ .may_have_been_sent = true,
                           .is_complete = true,
                           .id_matches = true,
                           .is_signed = true,
                           .status = 200 };
}

static void
test_success (void)
{
  answer_facts_t facts = good_answer ();
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_ANSWERED);
  g_assert_true (answer_may_have_run (&facts));
}

static void
test_refusal_did_not_run (void)
{
  answer_facts_t facts = good_answer ();
  facts.status = 503;
  facts.not_started = true;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_REFUSED);
  g_assert_false (answer_may_have_run (&facts));
}

/* Guards against a status that is taken for a statement: without the field, a
   backend server that answers so may have run the request.  */
static void
test_status_states_nothing (void)
{
  static const unsigned int statuses[] = { 408, 421, 429, 503 };
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      answer_facts_t facts = good_answer ();
      facts.status = statuses[i];
      backend_result_t doubtful = facts.status == 421
                                      ? BACKEND_MISDIRECTED
                                      : BACKEND_DOUBTFUL_REFUSAL;
      g_assert_cmpint (answer_classify (&facts), ==, doubtful);
      g_assert_true (answer_may_have_run (&facts));
      g_assert_false (answer_shows_complete_run (&facts));
      facts.not_started = true;
      g_assert_false (answer_may_have_run (&facts));
    }
}

/* Guards against one caller's limit that uses up the retries of others.  */
static void
test_limited_caller (void)
{
  for (unsigned int status = 200; status < 600; status++)
    {
      answer_facts_t facts = good_answer ();
      facts.status = status;
      bool is_limit = status == 408 || status == 429;
      g_assert_cmpint (answer_limits_caller (&facts), ==, is_limit);
      facts.not_started = true;
      g_assert_false (answer_limits_caller (&facts));
      facts.not_started = false;
      facts.is_complete = false;
      g_assert_false (answer_limits_caller (&facts));
    }
}

/* Guards against the field being believed beside a status that tells of a run.
 */
static void
test_contradicted_statement (void)
{
  for (unsigned int status = 200; status < 600; status++)
    {
      bool is_agreeing = status == 400 || status == 408 || status == 421
                         || status == 429 || status == 503;
      answer_facts_t facts = good_answer ();
      facts.status = status;
      facts.not_started = true;
      g_assert_cmpint (answer_may_have_run (&facts), ==, !is_agreeing);
      g_assert_false (answer_shows_complete_run (&facts));
    }
  answer_facts_t facts = good_answer ();
  facts.not_started = true;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_ANSWERED);
}

/* A second answer to the previous request arrives late on the same connection
   and looks like a refusal of this request, which may in fact run.  */
static void
test_answer_to_another_request (void)
{
  answer_facts_t facts = good_answer ();
  facts.status = 503;
  facts.not_started = true;
  facts.id_matches = false;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_NO_VALID_ANSWER);
  g_assert_true (answer_may_have_run (&facts));
  facts.status = 421;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_NO_VALID_ANSWER);
  g_assert_true (answer_may_have_run (&facts));
}

/* Guards against a backend server that is left out because it answers twice:
   on a kept connection, the first answer may be an earlier request's.  */
static void
test_answer_to_an_earlier_request (void)
{
  answer_facts_t facts = good_answer ();
  facts.is_foreign = true;
  facts.id_matches = false;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_NO_VALID_ANSWER);
  facts.was_reused = true;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_OTHER_ANSWER);
  g_assert_true (answer_may_have_run (&facts));
  facts.is_complete = false;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_OTHER_ANSWER);
  g_assert_true (answer_may_have_run (&facts));
  facts.is_foreign = false;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_NO_VALID_ANSWER);
}

static void
test_untrusted_success (void)
{
  answer_facts_t facts = good_answer ();
  facts.is_signed = false;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_NO_VALID_ANSWER);
  facts = good_answer ();
  facts.is_encoded = true;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_NO_VALID_ANSWER);
}

static void
test_incomplete_answer (void)
{
  answer_facts_t facts = good_answer ();
  facts.is_complete = false;
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_NO_VALID_ANSWER);
  g_assert_true (answer_may_have_run (&facts));
}

static void
test_request_not_sent (void)
{
  answer_facts_t facts = { 0 };
  g_assert_cmpint (answer_classify (&facts), ==, BACKEND_NO_VALID_ANSWER);
  g_assert_false (answer_may_have_run (&facts));
}

/* Guards against a request that ends its backend servers and is taken for
   harmless because one of them stopped it in time.  */
static void
test_complete_run (void)
{
  answer_facts_t facts = good_answer ();
  g_assert_true (answer_shows_complete_run (&facts));
  facts.status = 500;
  g_assert_true (answer_shows_complete_run (&facts));
  facts.status = 504;
  g_assert_false (answer_shows_complete_run (&facts));
  facts.status = 408;
  g_assert_false (answer_shows_complete_run (&facts));
  facts.status = 404;
  g_assert_true (answer_shows_complete_run (&facts));
  facts.not_started = true;
  g_assert_false (answer_shows_complete_run (&facts));
  facts = good_answer ();
  facts.id_matches = false;
  g_assert_false (answer_shows_complete_run (&facts));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/answer-class/success", test_success);
  g_test_add_func ("/answer-class/refusal", test_refusal_did_not_run);
  g_test_add_func ("/answer-class/status-states-nothing",
                   test_status_states_nothing);
  g_test_add_func ("/answer-class/limited-caller", test_limited_caller);
  g_test_add_func ("/answer-class/contradicted", test_contradicted_statement);
  g_test_add_func ("/answer-class/another-request",
                   test_answer_to_another_request);
  g_test_add_func ("/answer-class/earlier-request",
                   test_answer_to_an_earlier_request);
  g_test_add_func ("/answer-class/untrusted", test_untrusted_success);
  g_test_add_func ("/answer-class/incomplete", test_incomplete_answer);
  g_test_add_func ("/answer-class/not-sent", test_request_not_sent);
  g_test_add_func ("/answer-class/complete-run", test_complete_run);
  return g_test_run ();
}
