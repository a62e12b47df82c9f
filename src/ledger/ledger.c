#include "ledger/ledger.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/list.h"
#include "ledger/issuer_clock.h"
#include "ledger/release_filter.h"

enum
{
  DRIFT_PPM_MAX = 500000,
  SWEEP_STEPS_WHEN_FULL = 8,
  FILTER_BITS_A_CLAIM = 16,
  /* A ticket that was seen expires within its life plus the drift, which
     is less than twice its life.  */
  FILTER_SPAN_LIVES = 2,
};

typedef enum
{
  STATE_CLAIMED,
  STATE_RELEASED,
  STATE_DONE,
} record_state_t;

typedef struct record
{
  list_t bucket_link;
  list_t age_link; /* of the ages or of the free records */
  ticket_id_t id;
  fingerprint_t fingerprint;
  attempt_t attempt; /* STATE_CLAIMED */
  usec_t issued_at;
  char *body; /* STATE_DONE */
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
  list_t ages;      /* records in use, oldest first, roughly */
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
  size_t filter_bits = options->max_claims * FILTER_BITS_A_CLAIM;
  if (!issuer_clock_init (&ledger->clock, options->max_vms, options->drift_ppm)
      || !release_filter_init (&ledger->filter, filter_bits,
                               options->ticket_lifetime * FILTER_SPAN_LIVES,
                               now))
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
      || options->ticket_lifetime <= 0 || options->drift_ppm > DRIFT_PPM_MAX
      || options->incarnation == 0)
    {
      err_set (err, ERR_SETTINGS,
               "give the ledger bounds and a ticket life above zero",
               "the ledger's bounds are out of range");
      return NULL;
    }
  ledger_t *ledger = calloc (1, sizeof *ledger);
  if (!ledger)
    {
      err_set (err, ERR_LIMIT, "free memory", "no memory for the ledger");
      return NULL;
    }
  ledger->options = *options;
  list_init (&ledger->ages);
  list_init (&ledger->unused);
  if (!allocate (ledger, now))
    {
      ledger_free (ledger);
      err_set (err, ERR_LIMIT, "lower the ledger's max_claims",
               "no memory for %zu claims", options->max_claims);
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
      record_t *record = LIST_ENTRY (ledger->ages.next, record_t, age_link);
      if (has_expired (ledger, &record->id, record->issued_at, now))
        {
          drop_record (ledger, record);
          n_dropped++;
          continue;
        }
      list_remove (&record->age_link);
      list_push_back (&ledger->ages, &record->age_link);
    }
  return n_dropped;
}

/* A new record for ASK; NULL where the ledger is full.  */
static record_t *
add_record (ledger_t *ledger, const ledger_request_t *ask, usec_t now)
{
  if (list_empty (&ledger->unused))
    ledger_sweep (ledger, SWEEP_STEPS_WHEN_FULL, now);
  list_t *link = list_pop_front (&ledger->unused);
  if (!link)
    return NULL;
  record_t *record = LIST_ENTRY (link, record_t, age_link);
  record->id = ask->ticket.id;
  record->issued_at = ask->ticket.issued_at;
  record->fingerprint = ask->fingerprint;
  list_push_back (bucket_of (ledger, &record->id), &record->bucket_link);
  list_push_back (&ledger->ages, &record->age_link);
  ledger->stats.claims++;
  return record;
}

static void
keep_outcome (ledger_t *ledger, record_t *record, const outcome_t *outcome)
{
  record->state = STATE_DONE;
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
same_attempt (const attempt_t *a, const attempt_t *b)
{
  return a->vm == b->vm && a->incarnation == b->incarnation
         && a->number == b->number;
}

static ledger_vote_t
vote_of_record (const record_t *record, const attempt_t *attempt)
{
  ledger_vote_t vote = { .generation = record->generation };
  switch (record->state)
    {
    case STATE_CLAIMED:
      vote.kind = same_attempt (&record->attempt, attempt) ? VOTE_GRANTED
                                                           : VOTE_HELD;
      break;
    case STATE_RELEASED:
      vote.kind = VOTE_RELEASED;
      break;
    case STATE_DONE:
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

/* Put the generation of ASK in place of what RECORD held.  */
static void
start_generation (ledger_t *ledger, record_t *record,
                  const ledger_request_t *ask)
{
  record->generation = ask->ticket.generation;
  record->attempt = ask->attempt;
  switch (ask->op)
    {
    case LEDGER_CLAIM:
      record->state = STATE_CLAIMED;
      ledger->stats.granted++;
      break;
    case LEDGER_RELEASE:
      record->state = STATE_RELEASED;
      ledger->stats.released++;
      break;
    case LEDGER_RECORD:
      keep_outcome (ledger, record, &ask->outcome);
      break;
    case LEDGER_QUERY:
      break;
    }
}

static ledger_vote_t
refuse_full (ledger_t *ledger, const ledger_request_t *ask, usec_t now)
{
  ledger->stats.refused_full++;
  release_filter_add (&ledger->filter, &ask->ticket.id, ask->ticket.generation,
                      now);
  return (ledger_vote_t){ .kind = VOTE_FULL,
                          .generation = ask->ticket.generation };
}

static ledger_vote_t
answer_without_record (ledger_t *ledger, const ledger_request_t *ask,
                       usec_t now)
{
  if (ask->op == LEDGER_QUERY)
    return (ledger_vote_t){ .kind = VOTE_FREE };
  record_t *record = add_record (ledger, ask, now);
  if (!record)
    return refuse_full (ledger, ask, now);
  start_generation (ledger, record, ask);
  return vote_of_record (record, &ask->attempt);
}

static void
release_record (ledger_t *ledger, record_t *record)
{
  record->state = STATE_RELEASED;
  ledger->stats.released++;
}

static ledger_vote_t
answer_with_record (ledger_t *ledger, record_t *record,
                    const ledger_request_t *ask)
{
  uint32_t generation = ask->ticket.generation;
  if (record->state == STATE_DONE)
    return vote_of_record (record, &ask->attempt);
  if (ask->op == LEDGER_RECORD)
    keep_outcome (ledger, record, &ask->outcome);
  else if (generation > record->generation && ask->op == LEDGER_QUERY)
    return (ledger_vote_t){ .kind = VOTE_FREE };
  else if (generation > record->generation)
    start_generation (ledger, record, ask);
  ledger_vote_t vote = vote_of_record (record, &ask->attempt);
  if (vote.kind != VOTE_GRANTED)
    return vote;
  /* The attempt's own claim, of a generation that the ask is too old for.  */
  if (generation < record->generation)
    vote.kind = VOTE_HELD;
  else if (ask->op == LEDGER_RELEASE)
    {
      release_record (ledger, record);
      vote.kind = VOTE_RELEASED;
    }
  return vote;
}

/* Whether this replica promised, when it was full, that nothing of the ask's
   generation would run.  */
static bool
was_refused (ledger_t *ledger, const record_t *record,
             const ledger_request_t *ask, usec_t now)
{
  if (ask->op != LEDGER_CLAIM && ask->op != LEDGER_QUERY)
    return false;
  if (record
      && (record->state == STATE_DONE
          || record->generation >= ask->ticket.generation))
    return false;
  return release_filter_has (&ledger->filter, &ask->ticket.id,
                             ask->ticket.generation, now);
}

static bool
names_replica (const ledger_t *ledger, const ticket_t *ticket)
{
  for (size_t i = 0; i < ticket->n_replicas; i++)
    if (ticket->replicas[i].vm == ledger->options.self)
      return ticket->replicas[i].incarnation == ledger->options.incarnation;
  return false;
}

static bool
same_fingerprint (const fingerprint_t *a, const fingerprint_t *b)
{
  return a->low == b->low && a->high == b->high;
}

ledger_vote_t
ledger_on_request (ledger_t *ledger, const ledger_request_t *ask, usec_t now)
{
  const ticket_t *ticket = &ask->ticket;
  if (!names_replica (ledger, ticket))
    {
      ledger->stats.refused_incarnation++;
      return (ledger_vote_t){ .kind = VOTE_NOT_A_REPLICA };
    }
  /* The ticket itself proves that its issuer's clock came this far.  */
  if (!issuer_clock_observe (&ledger->clock, ticket->id.issuer,
                             ticket->id.issuer_incarnation, ticket->issued_at,
                             now)
      || has_expired (ledger, &ticket->id, ticket->issued_at, now))
    return (ledger_vote_t){ .kind = VOTE_EXPIRED };
  record_t *record = find_record (ledger, &ticket->id);
  if (record && !same_fingerprint (&record->fingerprint, &ask->fingerprint))
    {
      ledger->stats.conflicts++;
      return (ledger_vote_t){ .kind = VOTE_CONFLICT,
                              .generation = record->generation };
    }
  if (was_refused (ledger, record, ask, now))
    return (ledger_vote_t){ .kind = VOTE_FULL,
                            .generation = ticket->generation };
  if (!record)
    return answer_without_record (ledger, ask, now);
  return answer_with_record (ledger, record, ask);
}

ledger_stats_t
ledger_stats (const ledger_t *ledger)
{
  return ledger->stats;
}
