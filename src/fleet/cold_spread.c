#include "fleet/cold_spread.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/sorted_array.h"

enum
{
  UDP_HEADER_BYTES = 28, /* with the IP header */
  GROUPS_MAX = 64,
};

_Static_assert(GROUPS_MAX *GROUPS_MAX >= FLEET_ROUTERS_MAX,
               "there may be more groups than there is room for");

void
cold_spread_init (cold_spread_t *spread, uint32_t self, uint64_t seed)
{
  *spread = (cold_spread_t){ .self = self,
                             .tell_at = INT64_MAX,
                             .bytes_left = COLD_SPREAD_BYTE_BURST };
  random_seed (&spread->random, seed);
}

void
cold_spread_clear (cold_spread_t *spread)
{
  free (spread->routers);
  free (spread->senders);
  cold_table_clear (&spread->known);
  *spread = (cold_spread_t){ 0 };
}

static int
compare_addresses (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;
  return left < right ? -1 : left > right;
}

void
cold_spread_set_routers (cold_spread_t *spread, const uint32_t *addresses,
                         size_t n)
{
  n = n < FLEET_ROUTERS_MAX ? n : FLEET_ROUTERS_MAX;
  free (spread->routers);
  spread->routers = calloc (n + 1, sizeof *spread->routers);
  if (!spread->routers)
    abort ();
  spread->n_routers = 0;
  for (size_t i = 0; i < n; i++)
    if (addresses[i] != spread->self)
      spread->routers[spread->n_routers++] = addresses[i];
  qsort (spread->routers, spread->n_routers, sizeof *spread->routers,
         compare_addresses);
}

static bool
is_listed (const cold_spread_t *spread, uint32_t address)
{
  return spread->n_routers > 0
         && bsearch (&address, spread->routers, spread->n_routers,
                     sizeof address, compare_addresses);
}

/* --- Own reports --------------------------------------------------------- */

/* Keep REPORT as told.  Returns false if it extends too little what was told
   before; it is not kept then, so that several small ones add up.  */
static bool
keep_if_news (cold_spread_t *spread, const cold_report_t *report, bool is_own)
{
  usec_t known_until = cold_table_until (&spread->known, report->server);
  return report->until > known_until + COLD_SPREAD_EXTENSION
         && cold_table_put (&spread->known, report, is_own);
}

/* The place in QUEUE for a report of SERVER; NULL if there is none.  */
static cold_report_t *
place_of (cold_queue_t *queue, uint64_t server)
{
  for (size_t i = 0; i < queue->n; i++)
    if (queue->reports[i].server == server)
      return &queue->reports[i];
  return queue->n < COLD_DATAGRAM_REPORTS_MAX ? &queue->reports[queue->n]
                                              : NULL;
}

/* Queue REPORT if it is news and there is room; otherwise it is not kept as
   told.  */
static void
enqueue (cold_spread_t *spread, cold_queue_t *queue,
         const cold_report_t *report, bool is_own)
{
  cold_report_t *place = place_of (queue, report->server);
  if (!place || !keep_if_news (spread, report, is_own))
    return;
  if (place == &queue->reports[queue->n])
    queue->n++;
  *place = *report;
}

/* Queue what SEEN holds that is not settled, as far as there is room.  */
static void
queue_own (cold_spread_t *spread, const cold_table_t *seen, usec_t now)
{
  cold_report_t reports[COLD_DATAGRAM_REPORTS_MAX];
  const cold_query_t query = { .after = spread->settled, .now = now };
  size_t n = cold_table_changed (seen, &query, reports,
                                 COLD_DATAGRAM_REPORTS_MAX, &spread->settled);
  for (size_t i = 0; i < n; i++)
    enqueue (spread, &spread->own, &reports[i], true);
}

/* From when on a router tells what it sees.  */
static usec_t
out_of_reach_at (const cold_directors_t *directors, usec_t now)
{
  if (!directors->is_in_reach)
    return now;
  return directors->asked_at > 0 ? directors->asked_at + COLD_SPREAD_DELAY
                                 : INT64_MAX;
}

void
cold_spread_see (cold_spread_t *spread, const cold_table_t *seen,
                 const cold_directors_t *directors, usec_t now)
{
  if (directors->taken > spread->settled)
    spread->settled = directors->taken;
  spread->tell_at = INT64_MAX;
  if (seen->n_changes <= spread->settled || spread->own.n > 0
      || spread->n_routers == 0)
    return;
  usec_t at = out_of_reach_at (directors, now);
  if (at <= now)
    queue_own (spread, seen, now);
  else
    spread->tell_at = at;
}

/* --- What others tell ---------------------------------------------------- */

/* A place for a router that has told nothing yet; those that are not listed
   any more make room.  NULL if there is none.  */
static cold_sender_t *
add_sender (cold_spread_t *spread, uint32_t address)
{
  if (spread->n_senders == FLEET_ROUTERS_MAX)
    {
      size_t n = 0;
      for (size_t i = 0; i < spread->n_senders; i++)
        if (is_listed (spread, (uint32_t)spread->senders[i].address))
          spread->senders[n++] = spread->senders[i];
      spread->n_senders = n;
    }
  if (spread->n_senders == FLEET_ROUTERS_MAX)
    return NULL;
  size_t at = sorted_array_position (spread->senders, spread->n_senders,
                                     sizeof *spread->senders, address);
  cold_sender_t *sender = sorted_array_insert (
      (void **)&spread->senders, &spread->n_senders,
      &spread->n_senders_allocated, sizeof *spread->senders, at);
  *sender = (cold_sender_t){ .address = address };
  return sender;
}

/* Whether DATAGRAM is later than all that its sender told.  */
static bool
is_later (cold_spread_t *spread, const cold_datagram_t *datagram)
{
  cold_sender_t *sender
      = sorted_array_find (spread->senders, spread->n_senders,
                           sizeof *spread->senders, datagram->from);
  if (!sender)
    sender = add_sender (spread, datagram->from);
  if (!sender || datagram->incarnation < sender->incarnation
      || (datagram->incarnation == sender->incarnation
          && datagram->sequence <= sender->sequence))
    return false;
  sender->incarnation = datagram->incarnation;
  sender->sequence = datagram->sequence;
  return true;
}

bool
cold_spread_hear (cold_spread_t *spread, const cold_datagram_t *datagram,
                  usec_t now)
{
  if (!is_listed (spread, datagram->from) || !is_later (spread, datagram))
    return false;
  for (size_t i = 0; i < datagram->n; i++)
    {
      const cold_report_t *report = &datagram->reports[i];
      if (report->until <= now)
        continue;
      if (datagram->groups == 0)
        keep_if_news (spread, report, false);
      else
        enqueue (spread, &spread->relayed, report, false);
    }
  if (datagram->groups > 0)
    spread->relayed_groups = datagram->groups;
  return true;
}

/* --- Batches ------------------------------------------------------------- */

/* The number of groups of about as many routers each.  */
static uint32_t
choose_groups (size_t n_routers)
{
  return (uint32_t)ceil (sqrt ((double)n_routers));
}

static uint32_t
group_of (uint32_t address, uint32_t groups)
{
  return (uint32_t)(XXH3_64bits (&address, sizeof address) % groups);
}

/* All other routers of the own one of GROUPS.  */
static void
address_own_group (const cold_spread_t *spread, uint32_t groups,
                   cold_batch_t *batch)
{
  uint32_t own = group_of (spread->self, groups);
  batch->groups = 0;
  batch->n_to = 0;
  for (size_t i = 0; i < spread->n_routers; i++)
    if (group_of (spread->routers[i], groups) == own)
      batch->to[batch->n_to++] = spread->routers[i];
}

/* Random routers of each other one of GROUPS.  */
static void
address_relays (cold_spread_t *spread, uint32_t groups, cold_batch_t *batch)
{
  uint32_t relays[GROUPS_MAX][COLD_SPREAD_RELAYS] = { 0 };
  uint32_t n_members[GROUPS_MAX] = { 0 };
  uint32_t own = group_of (spread->self, groups);
  for (size_t i = 0; i < spread->n_routers; i++)
    {
      uint32_t group = group_of (spread->routers[i], groups);
      uint64_t place = n_members[group]++;
      if (place >= COLD_SPREAD_RELAYS)
        place = random_below (&spread->random, place + 1);
      if (place < COLD_SPREAD_RELAYS)
        relays[group][place] = spread->routers[i];
    }
  batch->groups = groups;
  batch->n_to = 0;
  for (uint32_t group = 0; group < groups; group++)
    for (size_t i = 0; i < COLD_SPREAD_RELAYS; i++)
      if (group != own && relays[group][i] != 0)
        batch->to[batch->n_to++] = relays[group][i];
}

static void
refill (cold_spread_t *spread, usec_t now)
{
  usec_t span = now - spread->refilled_at;
  if (span < USEC_PER_MSEC)
    return; /* so that rounding loses little */
  if (span > USEC_PER_SEC)
    span = USEC_PER_SEC;
  spread->bytes_left += span * COLD_SPREAD_BYTE_RATE / USEC_PER_SEC;
  if (spread->bytes_left > COLD_SPREAD_BYTE_BURST)
    spread->bytes_left = COLD_SPREAD_BYTE_BURST;
  spread->refilled_at = now;
}

static void
take_bytes (cold_spread_t *spread, const cold_batch_t *batch)
{
  size_t each = UDP_HEADER_BYTES + COLD_DATAGRAM_BYTES_MIN
                + batch->n * COLD_DATAGRAM_REPORT_BYTES;
  spread->bytes_left -= (int64_t)(each * batch->n_to);
}

static void
copy_reports (const cold_queue_t *queue, cold_batch_t *batch)
{
  batch->n = queue->n;
  memcpy (batch->reports, queue->reports, queue->n * sizeof *queue->reports);
}

static void
empty (cold_queue_t *queue, usec_t now)
{
  queue->n = 0;
  queue->next_at = now + COLD_SPREAD_INTERVAL;
}

static bool
is_due (const cold_queue_t *queue, usec_t now)
{
  return queue->n > 0 && now >= queue->next_at;
}

/* The own group is told last: a router that stops in between has told the
   relays.  */
static void
next_own (cold_spread_t *spread, usec_t now, cold_batch_t *batch)
{
  uint32_t groups = choose_groups (spread->n_routers);
  copy_reports (&spread->own, batch);
  if (!spread->has_told_relays)
    address_relays (spread, groups, batch);
  else
    {
      address_own_group (spread, groups, batch);
      empty (&spread->own, now);
    }
  spread->has_told_relays = !spread->has_told_relays;
}

bool
cold_spread_next (cold_spread_t *spread, usec_t now, cold_batch_t *batch)
{
  refill (spread, now);
  if (spread->bytes_left <= 0 || spread->n_routers == 0)
    return false;
  if (is_due (&spread->own, now))
    next_own (spread, now, batch);
  else if (is_due (&spread->relayed, now))
    {
      copy_reports (&spread->relayed, batch);
      address_own_group (spread, spread->relayed_groups, batch);
      empty (&spread->relayed, now);
    }
  else
    return false;
  take_bytes (spread, batch);
  return true;
}

static usec_t
queue_due_at (const cold_queue_t *queue)
{
  return queue->n > 0 ? queue->next_at : INT64_MAX;
}

usec_t
cold_spread_due_at (const cold_spread_t *spread)
{
  if (spread->n_routers == 0)
    return INT64_MAX;
  usec_t due_at = queue_due_at (&spread->own);
  if (queue_due_at (&spread->relayed) < due_at)
    due_at = queue_due_at (&spread->relayed);
  /* Overdrawn: one byte is back after at least this.  */
  usec_t paid_at = spread->refilled_at
                   + -spread->bytes_left * USEC_PER_SEC / COLD_SPREAD_BYTE_RATE
                   + 1;
  if (due_at != INT64_MAX && spread->bytes_left <= 0 && paid_at > due_at)
    due_at = paid_at;
  return spread->tell_at < due_at ? spread->tell_at : due_at;
}

void
cold_spread_expire (cold_spread_t *spread, usec_t now)
{
  cold_table_expire (&spread->known, now);
}
