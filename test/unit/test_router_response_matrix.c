/* Guards against a part of a response that is taken for the whole one, against
   a response that is taken for another request's, and against a request that
   is told as not run although it ran.

   Each case is a request to a backend server that frames, cuts, ends and
   repeats its response in one combination of these, with a request before it
   on the same connection if that is to be used again, and one after it.  CI
   plays each cut with each pair of the other factors, and a sample of the
   rest; the option `-m thorough` plays all cases.  */

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "balance/answer_class.h"
#include "base/clock.h"
#include "router/backend_http.h"

#include "../support/response_lane.h"

enum
{
  LANES = 64,
  BUDGET_BYTES = 32 * 1024 * 1024,
  LEVELS = 4, /* of a factor, at most */
  ENDINGS = 3,
  ROTATION = 4, /* one of so many rows is played with the rarer framings */
  SAMPLE_CASES = 1500,
  SAMPLE_SEED = 1,
};

#define CALL_TIMEOUT (30 * USEC_PER_SEC)
#define SILENCE_TIMEOUT (40 * USEC_PER_MSEC)
/* libcurl may pass over a call's timeout (docs/FINDINGS.md); that of setting
   up the connection ends it then.  */
#define SILENCE_CONNECT_TIMEOUT (1 * USEC_PER_SEC)

/* A lane's client.  */
typedef struct player
{
  lane_t lane;
  struct matrix *matrix;
  size_t number; /* of the case that is played */
  unsigned int step;
  bool is_waiting; /* for the response */
} player_t;

typedef struct matrix
{
  GArray *cases; /* of lane_case_t */
  gint *runs;
  size_t n_started; /* cases */
  poller_t *poller;
  backend_http_t *client;
  body_budget_t budget;
  char request_body[LANE_REQUEST_BODY];
  player_t players[LANES];
  size_t n_whole;
  size_t n_unsure;
  size_t n_refused;
  size_t n_unknown;
} matrix_t;

/* --- Cases --------------------------------------------------------------- */

static size_t
length_of (const lane_framing_t *framing)
{
  char id[LANE_ID_BYTES];
  lane_id (id, 0, STEP_CASE);
  g_autofree char *text = lane_response (framing, id);
  return strlen (text);
}

/* A second response before the next one needs a connection that is kept.  */
static void
add_case (matrix_t *matrix, const lane_framing_t *framing, size_t cut,
          const unsigned int levels[5])
{
  const lane_case_t this_case = { .framing = framing,
                                  .cut = cut,
                                  .ending = levels[0] % 3,
                                  .n_segments = 1 + levels[1],
                                  .second = levels[2],
                                  .is_reused = levels[3] % 2 == 1,
                                  .is_body_read = levels[4] % 2 == 0 };
  g_array_append_val (matrix->cases, this_case);
}

/* The product of two elements of the field of four.  */
static unsigned int
times (unsigned int a, unsigned int b)
{
  static const unsigned int product[LEVELS][LEVELS]
      = { { 0, 0, 0, 0 }, { 0, 1, 2, 3 }, { 0, 2, 3, 1 }, { 0, 3, 1, 2 } };
  return product[a][b];
}

/* Each pair of levels of two factors: an orthogonal array of 16 rows.  Of a
   rare framing the rows take turns from cut to cut.  */
static void
add_pairs (matrix_t *matrix, const lane_framing_t *framing)
{
  size_t length = length_of (framing);
  for (size_t cut = 0; cut <= length; cut++)
    for (unsigned int a = 0; a < LEVELS; a++)
      for (unsigned int b = 0; b < LEVELS; b++)
        if (!framing->is_rare || (a ^ b ^ cut) % ROTATION == 0)
          add_case (matrix, framing, cut,
                    (unsigned int[]){ a, b, a ^ b, a ^ times (2, b),
                                      a ^ times (3, b) });
}

static void
add_all (matrix_t *matrix, const lane_framing_t *framing)
{
  size_t length = length_of (framing);
  for (size_t cut = 0; cut <= length; cut++)
    for (unsigned int i = 0; i < ENDINGS * 4 * 4 * 2 * 2; i++)
      if (i / 12 % 4 != SECOND_BEFORE || i % ENDINGS == LANE_OPEN)
        add_case (matrix, framing, cut,
                  (unsigned int[]){ i % ENDINGS, i / 3 % 4, i / 12 % 4,
                                    i / 48 % 2, i / 96 });
}

static void
add_sample (matrix_t *matrix)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (SAMPLE_SEED);
  for (size_t i = 0; i < SAMPLE_CASES; i++)
    {
      const lane_framing_t *framing = &lane_framings[g_rand_int_range (
          random, 0, G_N_ELEMENTS (lane_framings))];
      unsigned int levels[5];
      for (size_t j = 0; j < 5; j++)
        levels[j] = (unsigned int)g_rand_int_range (random, 0, LEVELS);
      add_case (
          matrix, framing,
          (size_t)g_rand_int_range (random, 0, (gint)length_of (framing) + 1),
          levels);
    }
}

/* --- Judging ------------------------------------------------------------- */

static bool
is_cut (const lane_case_t *this_case)
{
  return this_case->second == SECOND_NONE
         && this_case->cut < length_of (this_case->framing);
}

/* Whether the backend server leaves the client without the response's end.  */
static bool
is_silent (const lane_case_t *this_case)
{
  return this_case->ending == LANE_OPEN
         && (is_cut (this_case)
             || this_case->framing->kind == FRAMING_UNTIL_CLOSE);
}

/* Whether nothing disturbs the response: it has to arrive.  A connection that
   is closed while its request is not read is reset.  */
static bool
is_undisturbed (const lane_case_t *this_case)
{
  bool is_read = this_case->is_body_read || this_case->framing->is_head;
  switch (this_case->framing->kind)
    {
    case FRAMING_UNTIL_CLOSE:
      return is_read && !is_cut (this_case) && this_case->ending == LANE_CLOSE;
    case FRAMING_INVALID:
      return false;
    case FRAMING_NO_BODY:
    case FRAMING_LENGTH:
    case FRAMING_CHUNKS:
      break;
    }
  return !is_cut (this_case)
         && (this_case->ending == LANE_OPEN
             || (is_read && this_case->ending == LANE_CLOSE));
}

static void
fail (const player_t *player, const char *what)
{
  const lane_case_t *this_case
      = &g_array_index (player->matrix->cases, lane_case_t, player->number);
  g_error ("%s: step %u of case %zu: framing %s, cut %zu of %zu, ending %d, "
           "%u segments, second %d, used again %d, request read %d",
           what, player->step, player->number, this_case->framing->name,
           this_case->cut, length_of (this_case->framing), this_case->ending,
           this_case->n_segments, this_case->second, this_case->is_reused,
           this_case->is_body_read);
}

/* BODY is what the response to PLAYER's request has, or a part of it.  Before
   the connection's end a second response belongs to the body.  */
static bool
is_part_of_body (const player_t *player, const lane_framing_t *framing,
                 const backend_response_t *response)
{
  char id[LANE_ID_BYTES];
  lane_id (id, player->number, player->step);
  g_autofree char *text = lane_response (framing, id);
  g_autofree char *all = g_strconcat (id, id, text, NULL);
  return response->body_bytes <= strlen (all)
         && memcmp (response->body ? response->body : "", all,
                    response->body_bytes)
                == 0;
}

static void
check_whole (const player_t *player, const lane_framing_t *framing,
             const backend_response_t *response)
{
  bool has_body = framing->form != FORM_NONE;
  if (response->completeness != BODY_WHOLE)
    fail (player, "told as whole without completeness");
  if (framing->kind == FRAMING_UNTIL_CLOSE || framing->kind == FRAMING_INVALID)
    fail (player, "told as whole, which can't be known");
  if (response->status != framing->status)
    fail (player, "another status");
  if (response->body_bytes != (has_body ? LANE_BODY_BYTES : 0)
      || !is_part_of_body (player, framing, response))
    fail (player, "told as whole, and it is not the body");
}

static void
check_unsure (const player_t *player, const lane_case_t *this_case,
              const backend_response_t *response)
{
  if (player->step != STEP_CASE)
    fail (player, "not certain, although it had a length");
  if (this_case->framing->kind != FRAMING_UNTIL_CLOSE)
    fail (player, "not certain, although its framing tells its end");
  if (this_case->ending != LANE_CLOSE)
    fail (player, "a reset or a silence is taken for an ordinary close");
  if (!is_part_of_body (player, this_case->framing, response))
    fail (player, "not the body");
}

/* Whether a caller gets the response with FACTS, and its status promises that
   the request has not run.  */
static bool
is_promise_passed_on (const answer_facts_t *facts)
{
  backend_result_t result = answer_classify (facts);
  return (result == BACKEND_ANSWERED || result == BACKEND_SERVER_ERROR)
         && (facts->status == 408 || facts->status == 421
             || facts->status == 429 || facts->status == 503);
}

static void
check_run (const player_t *player, bool is_complete,
           const backend_response_t *response)
{
  const answer_facts_t facts
      = { .may_have_been_sent = response->may_have_reached,
          .is_complete = is_complete,
          .id_matches = response->id_matches,
          .is_signed = response->is_signed,
          .is_encoded = response->is_encoded,
          .not_started = response->not_started,
          .status = response->status };
  gint runs = g_atomic_int_get (
      &player->matrix->runs[player->number * STEPS + player->step]);
  if (runs > 1)
    fail (player, "ran twice");
  if (runs > 0
      && (!answer_may_have_run (&facts) || is_promise_passed_on (&facts)))
    fail (player, "told as not run, but it ran");
}

static void
check_response (player_t *player, const backend_response_t *response)
{
  matrix_t *matrix = player->matrix;
  const lane_case_t *this_case
      = &g_array_index (matrix->cases, lane_case_t, player->number);
  bool is_case = player->step == STEP_CASE;
  const lane_framing_t *framing = is_case ? this_case->framing : &lane_last;
  bool is_taken = response->is_complete && response->id_matches;
  bool is_unsure = response->completeness == BODY_END_UNSURE;
  check_run (player, response->is_complete, response);
  if (response->timed_out && !(is_case && is_silent (this_case)))
    fail (player, "a call waits although the backend server has ended it");
  if (is_taken && is_unsure)
    check_unsure (player, this_case, response);
  else if (is_taken)
    check_whole (player, framing, response);
  bool has_to_arrive
      = player->step == STEP_BEFORE || (is_case && is_undisturbed (this_case));
  if (has_to_arrive && !is_taken)
    fail (player, response->error);
  if (is_case && is_taken && response->was_reused != this_case->is_reused)
    fail (player, "not the connection that the case is about");
  matrix->n_refused += is_taken && response->not_started;
  matrix->n_whole += is_taken && !is_unsure;
  matrix->n_unsure += is_taken && is_unsure;
  matrix->n_unknown += !is_taken;
}

/* --- Playing ------------------------------------------------------------- */

static void
on_done (void *closure, void *owner, backend_response_t *response)
{
  player_t *player = owner;
  (void)closure;
  check_response (player, response);
  player->is_waiting = false;
  player->step++;
}

static void
send_request (player_t *player)
{
  matrix_t *matrix = player->matrix;
  const lane_case_t *this_case
      = &g_array_index (matrix->cases, lane_case_t, player->number);
  bool is_case = player->step == STEP_CASE;
  bool is_head = is_case && this_case->framing->is_head;
  bool waits = is_case && is_silent (this_case);
  char id[LANE_ID_BYTES];
  lane_id (id, player->number, player->step);
  g_autofree char *field = g_strdup_printf ("Request-Id: %s", id);
  g_autofree char *target
      = g_strdup_printf ("/%zu/%u", player->number, player->step);
  const backend_request_t request
      = { .address = player->lane.address,
          .method = is_head ? "HEAD" : "POST",
          .target = target,
          .id = id,
          .headers = curl_slist_append (NULL, field),
          .body = matrix->request_body,
          .body_bytes = is_case && !is_head ? LANE_REQUEST_BODY : 1,
          .timeout = waits ? SILENCE_TIMEOUT : CALL_TIMEOUT,
          .connect_timeout = waits ? SILENCE_CONNECT_TIMEOUT : CALL_TIMEOUT,
          .owner = player };
  player->is_waiting = true;
  backend_http_call (matrix->client, &request);
}

/* Start the next request of PLAYER, or its next case.  Returns false if there
   is none.  */
static bool
go_on (player_t *player)
{
  matrix_t *matrix = player->matrix;
  if (player->step >= STEPS)
    {
      if (matrix->n_started == matrix->cases->len)
        return false;
      player->number = matrix->n_started++;
      bool is_reused
          = g_array_index (matrix->cases, lane_case_t, player->number)
                .is_reused;
      player->step = is_reused ? STEP_BEFORE : STEP_CASE;
    }
  send_request (player);
  return true;
}

/* Play all cases, one at a time on each lane.  */
static void
play (matrix_t *matrix)
{
  size_t n_playing = LANES;
  while (n_playing > 0)
    {
      n_playing = 0;
      for (size_t i = 0; i < LANES; i++)
        n_playing
            += matrix->players[i].is_waiting || go_on (&matrix->players[i]);
      poller_event_t event;
      if (poller_wait (matrix->poller, USEC_PER_MSEC, &event))
        backend_http_socket_ready (matrix->client, event.watch, event.ready);
      backend_http_tick (matrix->client, clock_monotonic ());
    }
}

static void
matrix_open (matrix_t *matrix)
{
  matrix->budget = (body_budget_t){ .max = BUDGET_BYTES };
  matrix->runs = g_new0 (gint, matrix->cases->len * STEPS);
  memset (matrix->request_body, 'x', sizeof matrix->request_body);
  matrix->poller = poller_new (NULL);
  const backend_http_options_t options = { .poller = matrix->poller,
                                           .own_address = "127.0.0.1",
                                           .budget = &matrix->budget,
                                           .closure = matrix,
                                           .done = on_done };
  matrix->client = backend_http_new (&options);
  for (size_t i = 0; i < LANES; i++)
    {
      player_t *player = &matrix->players[i];
      *player = (player_t){ .matrix = matrix, .step = STEPS };
      lane_open (&player->lane, &g_array_index (matrix->cases, lane_case_t, 0),
                 matrix->runs);
    }
}

static void
matrix_close (matrix_t *matrix)
{
  backend_http_free (matrix->client);
  poller_free (matrix->poller);
  for (size_t i = 0; i < LANES; i++)
    lane_close (&matrix->players[i].lane);
  g_assert_cmpuint (matrix->budget.used, ==, 0);
  g_array_free (matrix->cases, TRUE);
  g_free (matrix->runs);
}

static void
test_matrix (void)
{
  g_autofree matrix_t *matrix = g_new0 (matrix_t, 1);
  matrix->cases = g_array_new (FALSE, FALSE, sizeof (lane_case_t));
  for (size_t i = 0; i < G_N_ELEMENTS (lane_framings); i++)
    if (g_test_thorough ())
      add_all (matrix, &lane_framings[i]);
    else
      add_pairs (matrix, &lane_framings[i]);
  if (!g_test_thorough ())
    add_sample (matrix);
  matrix_open (matrix);
  play (matrix);
  g_test_message ("%u cases: %zu responses whole, %zu refusals among them, "
                  "%zu not certain, %zu unknown",
                  matrix->cases->len, matrix->n_whole, matrix->n_refused,
                  matrix->n_unsure, matrix->n_unknown);
  g_assert_cmpuint (matrix->n_started, ==, matrix->cases->len);
  matrix_close (matrix);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/response/matrix", test_matrix);
  return g_test_run ();
}
