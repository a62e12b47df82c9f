#include "balance/pool_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/name.h"
#include "fleet/backend_list.h"

enum
{
  FAILURES_UNTIL_DOWN = 2, /* consecutive failures */
};

/* Time from the failure to the first probe, and between probes.  */
#define FIRST_PROBE_DELAY (300 * USEC_PER_MSEC)
#define PROBE_INTERVAL (700 * USEC_PER_MSEC)
_Static_assert(COLD_REFUSAL_INTERVAL > PROBE_INTERVAL,
               "a refused probe comes within COLD_REFUSAL_INTERVAL");

backend_pool_t *
backend_pool_new (const backend_pool_options_t *options)
{
  backend_pool_t *pool = calloc (1, sizeof *pool);
  if (!pool)
    abort ();
  pool->options = *options;
  inet_parse_address (&pool->self, options->settings->address);
  random_seed (&pool->random, options->seed);
  list_init (&pool->backends);
  return pool;
}

void
backend_pool_free (backend_pool_t *pool)
{
  pool_index_clear (pool);
  cold_table_clear (&pool->colds);
  LIST_FOREACH (link, &pool->backends)
  free (LIST_ENTRY (link, backend_t, link));
  free (pool);
}

void
backend_pool_set_settings (backend_pool_t *pool,
                           const fleet_settings_t *settings)
{
  pool->options.settings = settings;
}

void
pool_forget_start (backend_t *backend)
{
  backend->consecutive_failures = 0;
  backend->other_load = 0;
  backend->other_load_mean = 0;
  backend->pace = 0;
  backend->latency = 0;
  recent_objects_clear (&backend->recent_objects);
  backend->quality = (backend_quality_t){ 0 };
}

static void
set_health (backend_pool_t *pool, backend_t *backend, backend_health_t health)
{
  pool->n_down -= backend->health == BACKEND_DOWN;
  pool->n_down += health == BACKEND_DOWN;
  backend->health = health;
}

/* Frees BACKEND if it is no longer listed and has no request or probe in
   flight.  */
static void
free_if_unused (backend_pool_t *pool, backend_t *backend)
{
  if (backend->is_listed || backend->in_flight > 0 || backend->is_probing)
    return;
  set_health (pool, backend, BACKEND_UP);
  pool_index_remove (pool, backend);
  list_remove (&backend->link);
  free (backend);
}

/* Discards what was observed of BACKEND before it restarted.  */
static void
reset_backend (backend_pool_t *pool, backend_t *backend)
{
  set_health (pool, backend, BACKEND_UP);
  pool_forget_start (backend);
}

/* A start of BACKEND is listed by a reading at READ_AT.  One that has refused
   a connection since then stays down.  */
static void
restart_backend (backend_pool_t *pool, backend_t *backend, usec_t read_at)
{
  bool is_down = backend->health == BACKEND_DOWN
                 && pool_cold_start_is_suspect (backend, read_at);
  reset_backend (pool, backend);
  if (is_down)
    set_health (pool, backend, BACKEND_DOWN);
}

/* Returns the backend server with RECORD's id; adds one if there is none.  The
   search starts after *POSITION, whose id must not be greater than the
   record's; *POSITION is then set to the backend server returned.  */
static backend_t *
find_or_add (backend_pool_t *pool, const backend_record_t *record,
             list_t **position)
{
  list_t *next = (*position)->next;
  int order = -1;
  while (next != &pool->backends)
    {
      const backend_t *current = LIST_ENTRY (next, backend_t, link);
      order = strcmp (current->record.id, record->id);
      if (order >= 0)
        break;
      next = next->next;
    }
  backend_t *backend = NULL;
  if (next != &pool->backends && order == 0)
    backend = LIST_ENTRY (next, backend_t, link);
  else
    {
      backend = calloc (1, sizeof *backend);
      if (!backend)
        abort ();
      backend->id_hash = XXH3_64bits (record->id, strlen (record->id));
      list_push_back (next, &backend->link);
    }
  *position = &backend->link;
  return backend;
}

static void
apply_record (backend_pool_t *pool, const backend_record_t *record,
              usec_t read_at, list_t **position)
{
  const name_t *region
      = fleet_settings_region (pool->options.settings, record->domain.text);
  if (!region)
    return;
  backend_t *backend = find_or_add (pool, record, position);
  bool is_new = backend->record.id[0] == '\0';
  bool is_restarted
      = !is_new && backend->record.started_unix_ms != record->started_unix_ms;
  /* A backend server that drains never stops draining until it exits; an older
     list can arrive late.  */
  bool is_draining
      = record->is_draining
        || (backend->record.is_draining
            && backend->record.started_unix_ms == record->started_unix_ms);
  if (record->cold_left > 0)
    pool_cold_start_set (backend, read_at + record->cold_left);
  if (is_new)
    pool_cold_start_suspect (
        backend, cold_table_until (&pool->colds, backend->id_hash), read_at);
  if (is_restarted)
    restart_backend (pool, backend, read_at);
  backend->record = *record;
  backend->record.is_draining = is_draining;
  if (is_new || is_restarted)
    pool_notices_load (pool, backend);
  pool_notices_keep_draining (pool, backend, read_at);
  backend->load_id = load_server_id (backend_record_boot (&backend->record));
  backend->region = *region;
  backend->is_listed = true;
}

static bool
is_evacuated (const pool_update_t *update, const char *domain)
{
  return name_find (update->evacuated, update->n_evacuated, domain)
         < update->n_evacuated;
}

/* Returns whether the list was read too early to show that BACKEND became cold
   before the evacuation of its failure domain ended.  */
static bool
may_be_cold (const backend_pool_t *pool, const backend_t *backend,
             const pool_update_t *update)
{
  usec_t ended_at = update->reopened ? reopened_domains_ended_at (
                        update->reopened, backend->record.domain.text)
                                     : 0;
  return ended_at > 0
         && update->list->read_at
                < ended_at + pool->options.settings->backend_list_lag;
}

void
backend_pool_update (backend_pool_t *pool, const pool_update_t *update,
                     usec_t now)
{
  LIST_FOREACH (link, &pool->backends)
  LIST_ENTRY (link, backend_t, link)->is_listed = false;
  list_t *position = &pool->backends;
  for (size_t i = 0; i < update->list->n_records; i++)
    apply_record (pool, &update->list->records[i], update->list->read_at,
                  &position);
  pool_index_rebuild (pool);
  LIST_FOREACH (link, &pool->backends)
  {
    backend_t *backend = LIST_ENTRY (link, backend_t, link);
    backend->is_evacuated = is_evacuated (update, backend->record.domain.text);
    backend->may_be_cold = may_be_cold (pool, backend, update);
    region_rank_t rank = pool_region_rank (pool, backend, update);
    pool_cold_start_set_rate (pool, backend, update, &rank, now);
    pool_limit_set_place (pool, backend, update, &rank);
    free_if_unused (pool, backend);
  }
  pool_update_weights (pool, update);
  cold_table_expire (&pool->colds, now);
}

bool
backend_pool_request_sent (backend_pool_t *pool, backend_t *backend,
                           const pool_query_t *query, usec_t now)
{
  (void)pool;
  backend->in_flight++;
  pool_cold_start_take (backend, now);
  pool_limit_take (backend, now);
  if (!query->has_object)
    return false;
  bool was_sent_before
      = recent_objects_contains (&backend->recent_objects, query->object_hash);
  recent_objects_add (&backend->recent_objects, query->object_hash, now);
  return was_sent_before;
}

static void
update_load (backend_t *backend, const backend_load_t *load, usec_t now)
{
  if (!load->is_known)
    return;
  pool_load_update (backend, load->running + load->waiting, load->pace, now);
  if (load->slots > 0)
    backend->record.slots = load->slots;
}

static void
update_latency (backend_t *backend, usec_t latency)
{
  backend->latency
      = backend->latency == 0 ? latency : (7 * backend->latency + latency) / 8;
}

void
backend_pool_take_out (backend_pool_t *pool, backend_t *backend, usec_t now)
{
  if (backend->health == BACKEND_DOWN)
    return;
  set_health (pool, backend, BACKEND_DOWN);
  backend->next_probe_at = now + FIRST_PROBE_DELAY;
}

void
backend_pool_links_restored (backend_pool_t *pool)
{
  LIST_FOREACH (link, &pool->backends)
  {
    backend_t *backend = LIST_ENTRY (link, backend_t, link);
    set_health (pool, backend, BACKEND_UP);
    backend->consecutive_failures = 0;
  }
}

usec_t
backend_pool_connection_refused (backend_pool_t *pool, backend_t *backend,
                                 usec_t now)
{
  const cold_report_t report
      = { .server = backend->id_hash,
          .until = now + COLD_REFUSAL_INTERVAL + backend->cold_start };
  bool has_cold_start = backend->cold_start > 0;
  if (has_cold_start)
    {
      cold_table_put (&pool->colds, &report, true);
      pool_cold_start_suspect (backend, report.until, now);
    }
  backend_pool_take_out (pool, backend, now);
  return has_cold_start ? report.until : 0;
}

static void
count_failure (backend_pool_t *pool, backend_t *backend, uint32_t limit,
               usec_t now)
{
  backend->consecutive_failures++;
  if (backend->consecutive_failures >= limit)
    backend_pool_take_out (pool, backend, now);
}

bool
backend_outcome_is_failure (const backend_outcome_t *outcome)
{
  const backend_load_t *load = &outcome->load;
  switch (outcome->result)
    {
    case BACKEND_SERVER_ERROR:
    case BACKEND_DOUBTFUL_REFUSAL:
    case BACKEND_NO_VALID_ANSWER:
      return true;
    case BACKEND_REFUSED:
      return load->is_known && load->running < load->slots;
    case BACKEND_ANSWERED:
    case BACKEND_MISDIRECTED:
    case BACKEND_OTHER_ANSWER:
    case BACKEND_CANCELLED:
      break;
    }
  return false;
}

bool
backend_outcome_shows_run (const backend_outcome_t *outcome)
{
  return outcome->result == BACKEND_ANSWERED && !outcome->not_started;
}

/* Whether OUTCOME shows how well the backend server answers.  */
static bool
tells_quality (const backend_outcome_t *outcome)
{
  backend_result_t result = outcome->result;
  if (result == BACKEND_ANSWERED)
    return backend_outcome_shows_run (outcome);
  return result != BACKEND_MISDIRECTED && result != BACKEND_OTHER_ANSWER
         && result != BACKEND_CANCELLED;
}

void
backend_pool_request_ended (backend_pool_t *pool, backend_t *backend,
                            const backend_outcome_t *outcome, usec_t now)
{
  backend->in_flight--;
  update_load (backend, &outcome->load, now);
  if (tells_quality (outcome))
    backend_quality_update (&backend->quality,
                            backend_outcome_is_failure (outcome),
                            outcome->latency, outcome->expected_latency, now);
  switch (outcome->result)
    {
    case BACKEND_ANSWERED:
      if (!backend_outcome_shows_run (outcome))
        break;
      backend->consecutive_failures = 0;
      update_latency (backend, outcome->latency);
      break;
    case BACKEND_REFUSED:
      /* Requests of other routers have filled it since the last report.  */
      if (!outcome->load.is_known)
        {
          backend->other_load = backend->record.slots + 1;
          backend->load_reported_at = now;
        }
      break;
    case BACKEND_MISDIRECTED:
      /* Without the statement that the request has not run, the status may be
         one that the backend server gives a single caller.  */
      count_failure (pool, backend,
                     outcome->may_have_run ? FAILURES_UNTIL_DOWN : 1, now);
      break;
    case BACKEND_NO_VALID_ANSWER:
      count_failure (pool, backend, FAILURES_UNTIL_DOWN, now);
      break;
    case BACKEND_SERVER_ERROR:
    case BACKEND_DOUBTFUL_REFUSAL:
    case BACKEND_OTHER_ANSWER:
    case BACKEND_CANCELLED:
      break;
    }
  free_if_unused (pool, backend);
}

backend_t *
backend_pool_find_boot (const backend_pool_t *pool, uint64_t boot)
{
  LIST_FOREACH (link, &pool->backends)
  {
    backend_t *backend = LIST_ENTRY (link, backend_t, link);
    if (backend->is_listed && backend_record_boot (&backend->record) == boot)
      return backend;
  }
  return NULL;
}

bool
backend_pool_begin_probe (backend_t *backend, usec_t now)
{
  if (backend->is_probing || backend_is_leaving (backend)
      || backend_notice_is_resting (&backend->notice, now))
    return false;
  backend->is_probing = true;
  backend->wants_probe = false;
  pool_limit_take (backend, now);
  return true;
}

bool
backend_pool_begin_check (backend_t *backend, usec_t now)
{
  return pool_cold_start_allows (backend, now)
         && pool_limit_allows (backend, now)
         && backend_pool_begin_probe (backend, now);
}

static bool
is_probe_due (const backend_t *backend, usec_t now)
{
  if (!pool_limit_allows (backend, now))
    return false;
  if (backend->wants_probe)
    return true;
  return backend->health == BACKEND_DOWN && now >= backend->next_probe_at
         && now >= pool_cold_start_probe_at (backend, backend->next_probe_at,
                                             now);
}

backend_t *
backend_pool_due_probe (backend_pool_t *pool, usec_t now)
{
  if (pool->n_down == 0 && !pool->has_wanted_probes)
    return NULL;
  bool is_wanted_later = false;
  LIST_FOREACH (link, &pool->backends)
  {
    backend_t *backend = LIST_ENTRY (link, backend_t, link);
    is_wanted_later
        |= backend->wants_probe
           && (backend->is_probing || !pool_limit_allows (backend, now));
    if (!is_probe_due (backend, now) || !backend->is_listed
        || !backend_pool_begin_probe (backend, now))
      continue;
    return backend;
  }
  pool->has_wanted_probes = is_wanted_later;
  return NULL;
}

backend_t *
backend_pool_random_check (backend_pool_t *pool, usec_t now)
{
  uint64_t first
      = pool->n_by_id > 0 ? random_below (&pool->random, pool->n_by_id) : 0;
  for (size_t i = 0; i < pool->n_by_id; i++)
    {
      backend_t *backend = pool->by_load_id[(first + i) % pool->n_by_id];
      if (backend->is_listed && backend_pool_begin_check (backend, now))
        return backend;
    }
  return NULL;
}

void
backend_pool_probe_ended (backend_pool_t *pool, backend_t *backend,
                          bool is_healthy, usec_t cold_left, usec_t now)
{
  backend->is_probing = false;
  backend->probed_at = now;
  backend->next_probe_at = now + PROBE_INTERVAL;
  if (is_healthy && backend->health == BACKEND_DOWN)
    reset_backend (pool, backend);
  usec_t left
      = cold_left < backend->cold_start ? cold_left : backend->cold_start;
  if (is_healthy && left > 0)
    pool_cold_start_set (backend, now + left);
  if (is_healthy)
    pool_cold_start_take_probe (backend, now);
  free_if_unused (pool, backend);
}
