#include "wire/send_watch.h"

/* Less than the 200 ms after which TCP sends the first probe.  */
#define HELD_SPAN (100 * USEC_PER_MSEC)

enum
{
  /* How far TCP_USER_TIMEOUT is ahead.  With the time before the first probe,
     this exceeds the 500 ms within which Linux acknowledges only one probe.
   */
  AHEAD_MSEC = 450,
  /* Of a probe; with the time between two, about SEND_TIMEOUT_MSEC.  */
  PROBE_TIMEOUT_MSEC = 700,
  /* Linux leaves a probe unanswered that comes within 500 ms of the one
     before; the next one follows after SEND_PROBE_SPAN_MSEC at most.  */
  UNANSWERED_MSEC = 500,
  REPEAT_TIMEOUT_MSEC = SEND_PROBE_SPAN_MSEC + 200,
};

/* What a check that comes late adds to the time of silence, at most: nobody
   looked meanwhile.  */
#define LOOKED_SPAN_MAX (2 * SEND_WATCH_SPAN)

bool
send_facts_all_acknowledged (const send_facts_t *facts)
{
  return facts->n_unacknowledged == 0 && facts->unsent_bytes == 0;
}

static bool
holds_back (const send_facts_t *facts)
{
  return facts->n_unacknowledged == 0 && facts->unsent_bytes > 0
         && facts->since_sent >= HELD_SPAN;
}

static void
update_timeout (send_watch_t *watch, usec_t now)
{
  int held_msec = (int)((now - watch->held_at) / USEC_PER_MSEC);
  watch->timeout_msec = SEND_TIMEOUT_MSEC;
  if (watch->timeout_msec < held_msec + AHEAD_MSEC)
    watch->timeout_msec = held_msec + AHEAD_MSEC;
}

/* An acknowledgement is awaited anew at NOW.  */
static void
start_awaiting (send_watch_t *watch, const send_facts_t *facts, usec_t now)
{
  bool may_be_unanswered = facts->since_acknowledged
                           < UNANSWERED_MSEC * USEC_PER_MSEC + SEND_WATCH_SPAN;
  watch->awaited_at = now;
  watch->awaited_for = 0;
  watch->probe_limit
      = (may_be_unanswered ? REPEAT_TIMEOUT_MSEC : PROBE_TIMEOUT_MSEC)
        * USEC_PER_MSEC;
}

/* Whether the peer has acknowledged since it was awaited.  What it sends of
   its own tells nothing while bytes are under way to a window that is open. */
static bool
has_acknowledged (const send_watch_t *watch, const send_facts_t *facts,
                  usec_t now)
{
  if (watch->n_acknowledged != facts->n_acknowledged)
    return true;
  return (facts->n_unacknowledged == 0 || facts->is_closed)
         && watch->awaited_at < now - facts->since_acknowledged;
}

static void
update_awaited (send_watch_t *watch, const send_facts_t *facts, usec_t now)
{
  bool is_awaited = facts->n_unacknowledged > 0 || facts->n_probes > 0;
  usec_t looked = now - watch->checked_at;
  if (is_awaited
      && (!watch->is_awaited || has_acknowledged (watch, facts, now)))
    start_awaiting (watch, facts, now);
  else
    watch->awaited_for += looked < LOOKED_SPAN_MAX ? looked : LOOKED_SPAN_MAX;
  watch->is_awaited = is_awaited;
  watch->checked_at = now;
  watch->n_acknowledged = facts->n_acknowledged;
}

static bool
is_silent (const send_watch_t *watch, const send_facts_t *facts)
{
  usec_t limit = facts->n_unacknowledged > 0
                     ? SEND_TIMEOUT_MSEC * USEC_PER_MSEC
                     : watch->probe_limit;
  return watch->is_awaited && watch->awaited_for >= limit;
}

send_state_t
send_watch_check (send_watch_t *watch, const send_facts_t *facts, usec_t now)
{
  if (!watch->is_held && holds_back (facts))
    {
      watch->is_held = true;
      watch->held_at = now - facts->since_sent;
    }
  if (watch->is_held)
    update_timeout (watch, now);
  if (watch->is_held || watch->kernel_timer_is_off)
    update_awaited (watch, facts, now);
  if (is_silent (watch, facts))
    return SEND_SILENT;
  return !watch->is_held && send_facts_all_acknowledged (facts) ? SEND_ARRIVED
                                                                : SEND_GOES_ON;
}
