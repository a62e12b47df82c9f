#include "balance/backend_reach.h"

static void
enter (backend_reach_t *reach, reach_state_t state, usec_t now)
{
  if (state != reach->state)
    reach->changed_at = now;
  reach->state = state;
  reach->n_good_rounds = 0;
  if (state != REACH_ANY)
    return;
  reach->n_failed = 0;
  reach->is_round_open = false;
}

static void
note_made (backend_reach_t *reach, contact_t contact, usec_t now)
{
  if (contact == CONTACT_RESPONSE || contact == CONTACT_SILENT)
    reach->made_at = now;
}

/* Returns whether enough servers have failed.  */
static bool
note_failure (backend_reach_t *reach, uint64_t server, usec_t now)
{
  if (now - reach->failed_at > REACH_FAILURE_LIFETIME)
    reach->n_failed = 0;
  reach->failed_at = now;
  for (size_t i = 0; i < reach->n_failed; i++)
    if (reach->failed[i] == server)
      return false;
  if (reach->n_failed < REACH_SUSPECTS)
    reach->failed[reach->n_failed++] = server;
  return reach->n_failed == REACH_SUSPECTS;
}

void
backend_reach_contact (backend_reach_t *reach, uint64_t server,
                       contact_t contact, bool is_new, usec_t now)
{
  if (is_new)
    note_made (reach, contact, now);
  if (contact != CONTACT_RESPONSE)
    {
      if (note_failure (reach, server, now) && reach->state == REACH_ANY)
        enter (reach, REACH_DOUBTFUL, now);
      return;
    }
  reach->response_at = now;
  if (!is_new || reach->state == REACH_NONE)
    return;
  enter (reach, REACH_ANY, now);
}

void
backend_reach_waiting (backend_reach_t *reach, usec_t sent_at, usec_t now)
{
  if (reach->state == REACH_ANY && now - sent_at > REACH_SILENCE
      && now - reach->response_at > REACH_SILENCE)
    enter (reach, REACH_DOUBTFUL, now);
}

bool
backend_reach_round_is_due (const backend_reach_t *reach, usec_t now)
{
  return reach->state != REACH_ANY && !reach->is_round_open
         && now >= reach->next_round_at;
}

void
backend_reach_begin_round (backend_reach_t *reach, size_t n, usec_t now)
{
  reach->next_round_at = now + REACH_ROUND_INTERVAL;
  reach->is_round_open = n > 0;
  reach->n_checks = n;
  reach->n_out = n;
  reach->n_refused = 0;
}

static void
end_good_round (backend_reach_t *reach, usec_t now)
{
  reach->is_round_open = false;
  reach->response_at = now;
  reach->n_good_rounds++;
  if (reach->state == REACH_DOUBTFUL
      || reach->n_good_rounds == REACH_GOOD_ROUNDS)
    enter (reach, REACH_ANY, now);
}

/* Whether a round without an answer shows a cut.  */
static bool
shows_cut (const backend_reach_t *reach, usec_t now)
{
  usec_t made_at = reach->made_at > reach->changed_at ? reach->made_at
                                                      : reach->changed_at;
  return reach->n_refused == reach->n_checks
         || now - reach->response_at > REACH_SILENCE
         || now - made_at > REACH_UNMADE;
}

static void
end_bad_round (backend_reach_t *reach, usec_t now)
{
  reach->is_round_open = false;
  reach->n_good_rounds = 0;
  if (shows_cut (reach, now))
    enter (reach, REACH_NONE, now);
  else if (reach->state == REACH_DOUBTFUL
           && now - reach->failed_at > REACH_FAILURE_LIFETIME)
    enter (reach, REACH_ANY, now);
}

void
backend_reach_check_ended (backend_reach_t *reach, contact_t contact,
                           usec_t now)
{
  if (!reach->is_round_open)
    return;
  reach->n_out--;
  reach->n_refused += contact == CONTACT_REFUSED;
  note_made (reach, contact, now);
  if (contact == CONTACT_RESPONSE)
    end_good_round (reach, now);
  else if (reach->n_out == 0)
    end_bad_round (reach, now);
}
