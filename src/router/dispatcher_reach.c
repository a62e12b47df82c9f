/* Whether this router reaches any backend server, and what follows from it. */

#include "router/dispatcher_internal.h"

#include <string.h>

#include "base/log.h"

static const char *
state_name (reach_state_t state)
{
  switch (state)
    {
    case REACH_ANY:
      return "any";
    case REACH_DOUBTFUL:
      return "doubtful";
    case REACH_NONE:
      break;
    }
  return "none";
}

static contact_t
contact_of (const backend_response_t *response)
{
  if (response->has_head)
    return CONTACT_RESPONSE;
  if (response->is_unreachable)
    return CONTACT_REFUSED;
  return response->may_have_reached ? CONTACT_SILENT : CONTACT_UNMADE;
}

bool
dispatcher_shows_end (dispatcher_t *dispatcher, uint64_t boot,
                      bool was_refused)
{
  held_end_t *held = dispatcher->held_ends;
  size_t i = 0;
  if (dispatcher->reach.state != REACH_DOUBTFUL)
    return dispatcher->reach.state == REACH_ANY;
  while (i < dispatcher->n_held_ends && held[i].boot != boot)
    i++;
  if (i == HELD_ENDS_MAX)
    return false; /* it is told once it is seen again */
  if (i == dispatcher->n_held_ends)
    held[dispatcher->n_held_ends++] = (held_end_t){ .boot = boot };
  held[i].was_refused |= was_refused;
  return false;
}

static void
confirm_held_end (dispatcher_t *dispatcher, const held_end_t *held, usec_t now)
{
  dispatcher_confirm_end (dispatcher, held->boot, "unreachable", now);
  backend_t *backend = backend_pool_find_boot (dispatcher->pool, held->boot);
  if (backend && held->was_refused)
    dispatcher_connection_refused (dispatcher, backend, now);
}

/* It is clear whether the links are cut.  */
static void
settle_held_ends (dispatcher_t *dispatcher, usec_t now)
{
  size_t n = dispatcher->n_held_ends;
  bool is_cut = dispatcher->reach.state == REACH_NONE;
  dispatcher->n_held_ends = 0;
  if (n == 0)
    return;
  LOG_EVENT (LOG_LEVEL_INFO, "backend_ends_settled", LOG_U ("backends", n),
             LOG_U ("believed", !is_cut));
  for (size_t i = 0; i < n && !is_cut; i++)
    confirm_held_end (dispatcher, &dispatcher->held_ends[i], now);
}

/* The state was BEFORE.  */
static void
note_change (dispatcher_t *dispatcher, reach_state_t before, usec_t now)
{
  reach_state_t state = dispatcher->reach.state;
  if (state == before)
    return;
  LOG_EVENT (state == REACH_NONE ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO,
             "backends_reached", LOG_S ("state", state_name (state)),
             LOG_S ("before", state_name (before)),
             LOG_I ("response_ms_ago",
                    (now - dispatcher->reach.response_at) / USEC_PER_MSEC));
  director_sync_set_cut_off (dispatcher->options.sync, state == REACH_NONE);
  if (state != REACH_DOUBTFUL)
    settle_held_ends (dispatcher, now);
  if (before == REACH_NONE)
    backend_pool_links_restored (dispatcher->pool);
}

void
dispatcher_reach_evidence (dispatcher_t *dispatcher, const call_owner_t *owner,
                           const backend_t *backend,
                           const backend_response_t *response, usec_t now)
{
  backend_reach_t *reach = &dispatcher->reach;
  reach_state_t before = reach->state;
  contact_t contact = contact_of (response);
  if (owner->is_reach_check)
    backend_reach_check_ended (reach, contact, now);
  else
    backend_reach_contact (reach, backend->id_hash, contact,
                           !response->was_reused, now);
  note_change (dispatcher, before, now);
}

/* Note that a request has waited for its response for so long.  */
static void
note_waiting (dispatcher_t *dispatcher, usec_t now)
{
  usec_t sent_at = now;
  LIST_FOREACH (link, &dispatcher->active)
  {
    const exchange_t *exchange = LIST_ENTRY (link, exchange_t, link);
    if (exchange->call && exchange->backend && exchange->sent_at < sent_at)
      sent_at = exchange->sent_at;
  }
  backend_reach_waiting (&dispatcher->reach, sent_at, now);
}

/* Ask some backend servers for their health.  */
static void
begin_round (dispatcher_t *dispatcher, usec_t now)
{
  size_t n = 0;
  backend_t *backend;
  while (n < REACH_CHECKS
         && (backend = backend_pool_random_check (dispatcher->pool, now)))
    {
      dispatcher_send_reach_check (dispatcher, backend);
      n++;
    }
  backend_reach_begin_round (&dispatcher->reach, n, now);
}

void
dispatcher_check_reach (dispatcher_t *dispatcher, usec_t now)
{
  reach_state_t before = dispatcher->reach.state;
  if (now >= dispatcher->next_waiting_at)
    {
      dispatcher->next_waiting_at = now + REACH_ROUND_INTERVAL / 4;
      note_waiting (dispatcher, now);
      note_change (dispatcher, before, now);
    }
  if (backend_reach_round_is_due (&dispatcher->reach, now))
    begin_round (dispatcher, now);
}
