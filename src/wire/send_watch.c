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
  PROBE_TIMEOUT_MSEC = 850,
};

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
update_timeout (send_watch_t *watch, const send_facts_t *facts, usec_t now)
{
  if (!watch->is_held)
    watch->held_at = now - facts->since_sent;
  watch->is_held = true;
  int held_msec = (int)((now - watch->held_at) / USEC_PER_MSEC);
  watch->timeout_msec = SEND_TIMEOUT_MSEC;
  if (watch->timeout_msec < held_msec + AHEAD_MSEC)
    watch->timeout_msec = held_msec + AHEAD_MSEC;
}

static void
update_awaited (send_watch_t *watch, const send_facts_t *facts, usec_t now)
{
  usec_t acknowledged_at = now - facts->since_acknowledged;
  bool is_awaited = facts->n_unacknowledged > 0 || facts->n_probes > 0;
  if (is_awaited && !watch->is_awaited)
    watch->awaited_at = now;
  if (watch->awaited_at < acknowledged_at)
    watch->awaited_at = acknowledged_at;
  watch->is_awaited = is_awaited;
}

static bool
is_silent (const send_watch_t *watch, const send_facts_t *facts, usec_t now)
{
  usec_t limit
      = facts->n_unacknowledged > 0 ? SEND_TIMEOUT_MSEC : PROBE_TIMEOUT_MSEC;
  return watch->is_awaited && now - watch->awaited_at >= limit * USEC_PER_MSEC;
}

send_state_t
send_watch_check (send_watch_t *watch, const send_facts_t *facts, usec_t now)
{
  if (!watch->is_held && !holds_back (facts))
    return send_facts_all_acknowledged (facts) ? SEND_ARRIVED : SEND_GOES_ON;
  update_timeout (watch, facts, now);
  update_awaited (watch, facts, now);
  return is_silent (watch, facts, now) ? SEND_SILENT : SEND_GOES_ON;
}
