#include "ledger/ledger.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/list.h"
#include "ledger/issuer_clock.h"
#include "ledger/release_filter.h"

enum
{
  DRIFT_MAX_PPM = 500000,
  SWEEP_STEPS_WHEN_FULL = 8, /* records; limits the time of one request */
  FILTER_BITS_PER_CLAIM = 16,
  /* In lifetimes of a ticket.  A known ticket expires within its lifetime plus
     the drift, together less than two lifetimes, and the filter keeps an entry
     for at least one rotation interval.  */
  FILTER_ROTATION_LIFETIMES = 2,
};

typedef enum
{
  RECORD_CLAIMED,
  RECORD_RELEASED,
  RECORD_DONE,
} record_state_t;

typedef struct record
{
  list_t bucket_link;
  list_t age_link; /* in by_age or in unused */
  ticket_id_t id;
  fingerprint_t fingerprint;
  attempt_t attempt; /* RECORD_CLAIMED: the holder */
  usec_t issued_at;
  char *body; /* RECORD_DONE; may be NULL */
  uint32_t n_body;
  uint32_t generation;
  uint16_t status;
  bool body_kept;
  record_state_t state;
} record_t;

struct ledger
{
  ledger_options_t options;
  issuer_clock_t clock;
  release_filter_t filter;
  record_t *records;
  list_t *buckets;
  size_t n_buckets; /* a power of two */
  list_t by_age;    /* records in use, roughly oldest first */
  list_t unused;
  ledger_stats_t stats;
};

static bool
allocate (ledger_t *ledger, usec_t now)
{
  const ledger_options_t *options = &ledger->options;
  ledger->n_buckets = 1;
  while (ledger->n_buckets < options->max_claims)
    ledger->n_buckets *= 2;
  size_t filter_bits = options->max_claims * FILTER_BITS_PER_CLAIM;
  if (!issuer_clock_init (&ledger->clock, options->max_vms, options->drift_ppm)
      || !release_filter_init (
          &ledger->filter, filter_bits,
          options->ticket_lifetime * FILTER_ROTATION_LIFETIMES, now))
    return false;
  ledger->records = calloc (options->max_claims, sizeof *ledger->records);
  ledger->buckets = calloc (ledger->n_buckets, sizeof *ledger->buckets);
  ledger->stats.fixed_bytes
      = sizeof *ledger + options->max_claims * sizeof *ledger->records
        + ledger->n_buckets * sizeof *ledger->buckets
        + options->max_vms * sizeof *ledger->clock.readings
        + 2 * ledger->filter.n_bits / 8;
  return ledger->records && ledger->buckets;
}

ledger_t *
ledger_new (const ledger_options_t *options, usec_t now, err_t *err)
{
  if (options->max_vms == 0 || options->max_claims == 0
      || options->ticket_lifetime <= 0 || options->drift_ppm > DRIFT_MAX_PPM
      || options->incarnation == 0)
    {
      err_set (err, ERR_SETTINGS,
               "set the ledger's limits, incarnation and ticket lifetime "
               "above 0, and the drift to at most 500000 ppm",
               "ledger options out of range: %zu VMs, %zu claims, incarnation "
               "%llu, ticket lifetime %lld us, drift %u ppm (limit %d)",
               options->max_vms, options->max_claims,
               (unsigned long long)options->incarnation,
               (long long)options->ticket_lifetime, options->drift_ppm,
               DRIFT_MAX_PPM);
      return NULL;
    }
  ledger_t *ledger = calloc (1, sizeof *ledger);
  if (!ledger)
    {
      err_set (err, ERR_LIMIT, "free memory", "out of memory for the ledger");
      return NULL;
    }
  ledger->options = *options;
  list_init (&ledger->by_age);
  list_init (&ledger->unused);
  if (!allocate (ledger, now))
    {
      ledger_free (ledger);
      err_set (err, ERR_LIMIT, "lower the ledger's max_claims",
               "out of memory for a ledger of %zu claims",
               options->max_claims);
      return NULL;
    }
  for (size_t i = 0; i < ledger->n_buckets; i++)
    list_init (&ledger->buckets[i]);
  for (size_t i = 0; i < options->max_claims; i++)
    {
      list_init (&ledger->records[i].bucket_link);
      list_push_back (&ledger->unused, &ledger->records[i].age_link);
    }
  return ledger;
}

void
ledger_free (ledger_t *ledger)
{
  if (!ledger)
    return;
  for (size_t i = 0; ledger->records && i < ledger->options.max_claims; i++)
    free (ledger->records[i].body);
  issuer_clock_destroy (&ledger->clock);
  release_filter_destroy (&ledger->filter);
  free (ledger->records);
  free (ledger->buckets);
  free (ledger);
}

void
ledger_on_heartbeat (ledger_t *ledger, vm_id_t vm, uint64_t incarnation,
                     usec_t stamp, usec_t now)
{
  issuer_clock_observe (&ledger->clock, vm, incarnation, stamp, now);
}

static bool
has_expired (const ledger_t *ledger, const ticket_id_t *id, usec_t issued_at,
             usec_t now)
{
  return issuer_clock_has_passed (
      &ledger->clock, id->issuer, id->issuer_incarnation,
      issued_at + ledger->options.ticket_lifetime, now);
}

static list_t *
bucket_of (const ledger_t *ledger, const ticket_id_t *id)
{
  const uint64_t words[3]
      = { id->issuer, id->issuer_incarnation, id->sequence };
  uint64_t hash = XXH3_64bits (words, sizeof words);
  return &ledger->buckets[hash & (ledger->n_buckets - 1)];
}

static record_t *
find_record (const ledger_t *ledger, const ticket_id_t *id)
{
  LIST_FOREACH (link, bucket_of (ledger, id))
  {
    record_t *record = LIST_ENTRY (link, record_t, bucket_link);
    if (ticket_id_equal (&record->id, id))
      return record;
  }
  return NULL;
}

static void
drop_record (ledger_t *ledger, record_t *record)
{
  list_remove (&record->bucket_link);
  list_remove (&record->age_link);
  list_push_front (&ledger->unused, &record->age_link);
  if (record->body)
    ledger->stats.body_bytes -= record->n_body;
  free (record->body);
  record->body = NULL;
  ledger->stats.claims--;
  ledger->stats.expired++;
}

size_t
ledger_sweep (ledger_t *ledger, size_t max_steps, usec_t now)
{
  size_t n_dropped = 0;
  size_t n_steps = ledger->stats.claims;
  if (n_steps > max_steps)
    n_steps = max_steps;
  for (size_t i = 0; i < n_steps; i++)
    {
      record_t *record = LIST_ENTRY (ledger->by_age.next, record_t, age_link);
      if (has_expired (ledger, &record->id, record->issued_at, now))
        {
          drop_record (ledger, record);
          n_dropped++;
          continue;
        }
      list_remove (&record->age_link);
      list_push_back (&ledger->by_age, &record->age_link);
    }
  return n_dropped;
}

/* A new record for the ticket of REQUEST; NULL where the ledger is full.  */
static record_t *
add_record (ledger_t *ledger, const ledger_request_t *request, usec_t now)
{
  if (list_empty (&ledger->unused))
    ledger_sweep (ledger, SWEEP_STEPS_WHEN_FULL, now);
  list_t *link = list_pop_front (&ledger->unused);
  if (!link)
    return NULL;
  record_t *record = LIST_ENTRY (link, record_t, age_link);
  record->id = request->ticket.id;
  record->issued_at = request->ticket.issued_at;
  record->fingerprint = request->fingerprint;
  list_push_back (bucket_of (ledger, &record->id), &record->bucket_link);
  list_push_back (&ledger->by_age, &record->age_link);
  ledger->stats.claims++;
  return record;
}

static void
store_outcome (ledger_t *ledger, record_t *record, const outcome_t *outcome)
{
  record->state = RECORD_DONE;
  record->status = outcome->status;
  record->n_body = outcome->n_body;
  record->body_kept = outcome->body_kept && outcome->n_body == 0;
  ledger->stats.recorded++;
  if (!outcome->body_kept || outcome->n_body == 0
      || outcome->n_body > ledger->options.max_body_bytes
      || ledger->stats.body_bytes + outcome->n_body
             > ledger->options.max_total_body_bytes)
    return;
  record->body = malloc (outcome->n_body);
  if (!record->body)
    return;
  memcpy (record->body, outcome->body, outcome->n_body);
  record->body_kept = true;
  ledger->stats.body_bytes += outcome->n_body;
}

static bool
is_same_attempt (const attempt_t *a, const attempt_t *b)
{
  return a->vm == b->vm && a->incarnation == b->incarnation
         && a->number == b->number;
}

static ledger_vote_t
vote_from_record (const record_t *record, const attempt_t *attempt)
{
  ledger_vote_t vote = { .generation = record->generation };
  switch (record->state)
    {
    case RECORD_CLAIMED:
      vote.kind = is_same_attempt (&record->attempt, attempt) ? VOTE_GRANTED
                                                              : VOTE_HELD;
      break;
    case RECORD_RELEASED:
      vote.kind = VOTE_RELEASED;
      break;
    case RECORD_DONE:
      vote.kind = VOTE_DONE;
      vote.outcome
          = (outcome_t){ .status = record->status,
                         .body_kept = record->body_kept,
                         .n_body = record->body_kept ? record->n_body : 0,
                         .body = record->body };
      break;
    }
  return vote;
}

/* Replace the state of RECORD by that of the generation of REQUEST.  */
static void
start_generation (ledger_t *ledger, record_t *record,
                  const ledger_request_t *request)
{
  record->generation = request->ticket.generation;
  record->attempt = request->attempt;
  switch (request->op)
    {
    case LEDGER_CLAIM:
      record->state = RECORD_CLAIMED;
      ledger->stats.granted++;
      break;
    case LEDGER_RELEASE:
      record->state = RECORD_RELEASED;
      ledger->stats.released++;
      break;
    case LEDGER_RECORD:
      store_outcome (ledger, record, &request->outcome);
      break;
    case LEDGER_QUERY:
      break;
    }
}

static ledger_vote_t
refuse_full (ledger_t *ledger, const ledger_request_t *request, usec_t now)
{
  ledger->stats.refused_full++;
  release_filter_add (&ledger->filter, &request->ticket.id,
                      request->ticket.generation, now);
  return (ledger_vote_t){ .kind = VOTE_FULL,
                          .generation = request->ticket.generation };
}

static ledger_vote_t
answer_without_record (ledger_t *ledger, const ledger_request_t *request,
                       usec_t now)
{
  if (request->op == LEDGER_QUERY)
    return (ledger_vote_t){ .kind = VOTE_FREE };
  record_t *record = add_record (ledger, request, now);
  if (!record)
    return refuse_full (ledger, request, now);
  start_generation (ledger, record, request);
  return vote_from_record (record, &request->attempt);
}

static void
release_record (ledger_t *ledger, record_t *record)
{
  record->state = RECORD_RELEASED;
  ledger->stats.released++;
}

static ledger_vote_t
answer_with_record (ledger_t *ledger, record_t *record,
                    const ledger_request_t *request)
{
  uint32_t generation = request->ticket.generation;
  if (record->state == RECORD_DONE)
    return vote_from_record (record, &request->attempt);
  if (request->op == LEDGER_RECORD)
    store_outcome (ledger, record, &request->outcome);
  else if (generation > record->generation && request->op == LEDGER_QUERY)
    return (ledger_vote_t){ .kind = VOTE_FREE };
  else if (generation > record->generation)
    start_generation (ledger, record, request);
  ledger_vote_t vote = vote_from_record (record, &request->attempt);
  if (vote.kind != VOTE_GRANTED)
    return vote;
  /* The attempt holds the claim, but in a later generation than that of the
     request.  */
  if (generation < record->generation)
    vote.kind = VOTE_HELD;
  else if (request->op == LEDGER_RELEASE)
    {
      release_record (ledger, record);
      vote.kind = VOTE_RELEASED;
    }
  return vote;
}

/* Whether this replica, when it was full, refused the generation of REQUEST
   for good.  */
static bool
was_refused_as_full (ledger_t *ledger, const record_t *record,
                     const ledger_request_t *request, usec_t now)
{
  if (request->op != LEDGER_CLAIM && request->op != LEDGER_QUERY)
    return false;
  if (record
      && (record->state == RECORD_DONE
          || record->generation >= request->ticket.generation))
    return false;
  return release_filter_has (&ledger->filter, &request->ticket.id,
                             request->ticket.generation, now);
}

static bool
names_this_replica (const ledger_t *ledger, const ticket_t *ticket)
{
  for (size_t i = 0; i < ticket->n_replicas; i++)
    if (ticket->replicas[i].vm == ledger->options.self)
      return ticket->replicas[i].incarnation == ledger->options.incarnation;
  return false;
}

static bool
is_same_fingerprint (const fingerprint_t *a, const fingerprint_t *b)
{
  return a->low == b->low && a->high == b->high;
}

ledger_vote_t
ledger_on_request (ledger_t *ledger, const ledger_request_t *request,
                   usec_t now)
{
  const ticket_t *ticket = &request->ticket;
  if (!names_this_replica (ledger, ticket))
    {
      ledger->stats.refused_incarnation++;
      return (ledger_vote_t){ .kind = VOTE_NOT_A_REPLICA };
    }
  /* The ticket proves that its issuer's clock has reached issued_at.  */
  if (!issuer_clock_observe (&ledger->clock, ticket->id.issuer,
                             ticket->id.issuer_incarnation, ticket->issued_at,
                             now)
      || has_expired (ledger, &ticket->id, ticket->issued_at, now))
    return (ledger_vote_t){ .kind = VOTE_EXPIRED };
  record_t *record = find_record (ledger, &ticket->id);
  if (record
      && !is_same_fingerprint (&record->fingerprint, &request->fingerprint))
    {
      ledger->stats.conflicts++;
      return (ledger_vote_t){ .kind = VOTE_CONFLICT,
                              .generation = record->generation };
    }
  if (was_refused_as_full (ledger, record, request, now))
    return (ledger_vote_t){ .kind = VOTE_FULL,
                            .generation = ticket->generation };
  if (!record)
    return answer_without_record (ledger, request, now);
  return answer_with_record (ledger, record, request);
}

ledger_stats_t
ledger_stats (const ledger_t *ledger)
{
  return ledger->stats;
}
