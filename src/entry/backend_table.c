#include "entry/backend_table.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/random.h"
#include "placement/steer.h"
#include "shift/sheet.h"

enum
{
  BACKENDS_MAX = 4096, /* in all sheets of one process's lifetime */
  STOP_MARGIN_MSEC = 100,
  PEER_FULL_MSEC = 2, /* no forwarding to a VM that refused for load */
  BACKOFF_FIRST_MSEC = 100,
  BACKOFF_MAX_MSEC = 1600,
  VM_MASK_BITS = 64,
  SLOT_NONE = UINT16_MAX,
  TIMEOUT_DIVISOR = 4, /* of the service's deadline */
};

static const usec_t evaluation_interval = USEC_PER_SEC;

/* The backend servers that one load balancer chooses among, and the mapping
   between its slot numbers and the table's indexes.  */
typedef struct candidate_set
{
  steer_t *steer;
  backend_slot_t slot[BACKENDS_MAX]; /* by index; SLOT_NONE: not in the set */
  uint32_t index[BACKENDS_MAX];      /* by slot */
} candidate_set_t;

typedef struct known_backend
{
  backend_t backend;
  vm_id_t owner;
  bool is_in_sheet;
  usec_t backoff_until;
  usec_t backoff; /* the present one; 0 after an answer */
} known_backend_t;

struct backend_table
{
  backend_table_options_t options;
  slots_t *slots;
  uint64_t sheet_number;
  known_backend_t known[BACKENDS_MAX];
  uint32_t n_known;
  candidate_set_t all;
  candidate_set_t local; /* those whose slots this entry VM grants */
  usec_t evaluated_at;
  usec_t *peer_full_until; /* by VM and service */
  random_state_t random;
};

static size_t
vms_of_domain (const topology_t *topology, domain_id_t domain,
               vm_id_t owners[SLOT_OWNERS_MAX])
{
  size_t n = 0;
  for (size_t i = 0; i < topology->n_vms && n < SLOT_OWNERS_MAX; i++)
    if (topology->vms[i].domain == domain)
      owners[n++] = (vm_id_t)i;
  return n;
}

backend_table_t *
backend_table_new (const backend_table_options_t *options, err_t *err)
{
  const settings_t *settings = options->settings;
  const topology_t *topology = &settings->topology;
  backend_table_t *table = calloc (1, sizeof *table);
  if (!table)
    abort ();
  table->options = *options;
  memset (table->all.slot, UINT8_MAX, sizeof table->all.slot);
  memset (table->local.slot, UINT8_MAX, sizeof table->local.slot);
  usec_t now = clock_monotonic ();
  random_seed (&table->random, options->seed ? options->seed : (uint64_t)now);
  slots_options_t slots_options
      = { .self = options->self,
          .max_backends = BACKENDS_MAX,
          .max_time_to_deadline = settings->limits.deadline_max,
          .stop_margin = STOP_MARGIN_MSEC * USEC_PER_MSEC,
          .started_at = now };
  slots_options.n_owners = vms_of_domain (
      topology, topology->vms[options->self].domain, slots_options.owners);
  table->slots = slots_new (&slots_options, err);
  const steer_options_t steer_options
      = { .topology = topology, .home = topology->vms[options->self].domain };
  table->all.steer = steer_new (&steer_options, err);
  table->local.steer = steer_new (&steer_options, err);
  table->peer_full_until = calloc (topology->n_vms * topology->n_services,
                                   sizeof *table->peer_full_until);
  if (table->slots && table->all.steer && table->local.steer
      && table->peer_full_until)
    return table;
  backend_table_free (table);
  return NULL;
}

void
backend_table_free (backend_table_t *table)
{
  slots_free (table->slots);
  steer_free (table->all.steer);
  steer_free (table->local.steer);
  free (table->peer_full_until);
  free (table);
}

static uint32_t
find_known (backend_table_t *table, const backend_t *backend)
{
  for (uint32_t i = 0; i < table->n_known; i++)
    if (strcmp (table->known[i].backend.name.text, backend->name.text) == 0)
      return i;
  return table->n_known < BACKENDS_MAX ? table->n_known++ : BACKENDS_MAX;
}

static bool
accepts_requests (const backend_t *backend)
{
  return backend->state == BACKEND_SERVING
         || backend->state == BACKEND_JOINING;
}

/* Add or update BACKEND.  Returns its index; BACKENDS_MAX where the table is
   full.  */
static uint32_t
add_backend (backend_table_t *table, const backend_t *backend)
{
  const topology_t *topology = &table->options.settings->topology;
  uint32_t index = find_known (table, backend);
  if (index == BACKENDS_MAX)
    return index;
  uint64_t key = XXH64 (backend->name.text, strlen (backend->name.text), 0);
  vm_id_t owners[SLOT_OWNERS_MAX];
  size_t n_owners = vms_of_domain (topology, backend->domain, owners);
  known_backend_t *known = &table->known[index];
  known->backend = *backend;
  known->owner = slots_owner (owners, n_owners, key);
  known->is_in_sheet = true;
  if (known->owner != table->options.self)
    return index;
  const service_t *service = &topology->services[backend->service];
  const slot_backend_t limits = { .key = key,
                                  .max_slots = service->slots,
                                  .max_connections = service->connections };
  slots_set_backend (table->slots, index, &limits, NULL);
  slots_set_draining (table->slots, index, !accepts_requests (backend));
  return index;
}

static void
update_candidates (const backend_table_t *table, candidate_set_t *set,
                   const sheet_t *sheet, usec_t now)
{
  if (!steer_update (set->steer, sheet, now, NULL))
    return;
  for (uint32_t i = 0; i < table->n_known; i++)
    {
      const char *name = table->known[i].backend.name.text;
      set->slot[i] = SLOT_NONE;
      if (steer_find (set->steer, name, &set->slot[i]))
        set->index[set->slot[i]] = i;
    }
}

/* Replace the backend servers in use by SHEET's.  Those that find no room in
   the table are removed from SHEET.  */
static void
apply_sheet (backend_table_t *table, sheet_t *sheet, usec_t now)
{
  for (uint32_t i = 0; i < table->n_known; i++)
    {
      table->known[i].is_in_sheet = false;
      slots_set_draining (table->slots, i, true);
    }
  size_t n_local = 0;
  size_t n_known = 0;
  backend_t *local_backends
      = calloc (sheet->n_backends + 1, sizeof *local_backends);
  if (!local_backends)
    abort ();
  for (size_t i = 0; i < sheet->n_backends; i++)
    {
      uint32_t index = add_backend (table, &sheet->backends[i]);
      if (index == BACKENDS_MAX)
        continue;
      sheet->backends[n_known++] = sheet->backends[i];
      if (table->known[index].owner == table->options.self)
        local_backends[n_local++] = table->known[index].backend;
    }
  sheet->n_backends = n_known;
  update_candidates (table, &table->all, sheet, now);
  sheet_t local_sheet = *sheet;
  local_sheet.backends = local_backends;
  local_sheet.n_backends = n_local;
  update_candidates (table, &table->local, &local_sheet, now);
  free (local_backends);
}

bool
backend_table_has_sheet (const backend_table_t *table)
{
  return table->sheet_number > 0;
}

void
backend_table_tick (backend_table_t *table, usec_t now)
{
  slots_tick (table->slots, now);
  if (now - table->evaluated_at >= evaluation_interval)
    {
      table->evaluated_at = now;
      steer_tick (table->all.steer, now);
      steer_tick (table->local.steer, now);
    }
  if (current_sheet_number (table->options.current_sheet)
      == table->sheet_number)
    return;
  sheet_t *sheet = current_sheet_copy (table->options.current_sheet);
  if (!sheet)
    return;
  table->sheet_number = sheet->number;
  apply_sheet (table, sheet, now);
  sheet_free (sheet);
}

static usec_t *
peer_full_until (backend_table_t *table, vm_id_t vm, service_id_t service)
{
  size_t n = table->options.settings->topology.n_services;
  return &table->peer_full_until[vm * n + service];
}

void
backend_table_peer_full (backend_table_t *table, vm_id_t vm,
                         service_id_t service, usec_t now)
{
  *peer_full_until (table, vm, service) = now + PEER_FULL_MSEC * USEC_PER_MSEC;
}

void
backend_table_attempt_failed (backend_table_t *table, uint32_t backend,
                              usec_t now)
{
  known_backend_t *known = &table->known[backend];
  const usec_t first_backoff = BACKOFF_FIRST_MSEC * USEC_PER_MSEC;
  const usec_t max_backoff = BACKOFF_MAX_MSEC * USEC_PER_MSEC;
  if (now < known->backoff_until)
    return;
  known->backoff = known->backoff ? 2 * known->backoff : first_backoff;
  if (known->backoff > max_backoff)
    known->backoff = max_backoff;
  known->backoff_until = now + known->backoff;
}

void
backend_table_attempt_succeeded (backend_table_t *table, uint32_t backend)
{
  table->known[backend].backoff = 0;
  table->known[backend].backoff_until = 0;
}

void
backend_table_run_started (backend_table_t *table, uint32_t backend)
{
  if (table->all.slot[backend] != SLOT_NONE)
    steer_started (table->all.steer, table->all.slot[backend]);
  if (table->local.slot[backend] != SLOT_NONE)
    steer_started (table->local.steer, table->local.slot[backend]);
}

static void
report_run_end (candidate_set_t *set, uint32_t backend, run_outcome_t outcome,
                usec_t latency, usec_t now)
{
  backend_slot_t slot = set->slot[backend];
  if (slot != SLOT_NONE)
    steer_finished (set->steer, slot, slot, outcome, latency, now);
}

void
backend_table_run_ended (backend_table_t *table, uint32_t backend,
                         run_outcome_t outcome, usec_t latency, usec_t now)
{
  const topology_t *topology = &table->options.settings->topology;
  service_id_t service = table->known[backend].backend.service;
  usec_t min_timeout = topology->services[service].deadline / TIMEOUT_DIVISOR;
  /* Where the caller allowed little time, a timeout is no evidence of a slow
     server.  */
  if (outcome == OUTCOME_TIMED_OUT && latency < min_timeout)
    outcome = OUTCOME_CANCELLED;
  report_run_end (&table->all, backend, outcome, latency, now);
  report_run_end (&table->local, backend, outcome, latency, now);
}

void
backend_table_report (backend_table_t *table, uint32_t backend,
                      const hint_t *hint)
{
  const char *name = table->known[backend].backend.name.text;
  steer_report (table->all.steer, name, HINT_ENDPOINT, hint);
  steer_report (table->local.steer, name, HINT_ENDPOINT, hint);
}

/* Whether BACKEND, whose slots this VM grants, may run one more request.  The
   limit is below its slots during slow start, and 0 while it is ejected.  */
static bool
has_room (backend_table_t *table, uint32_t backend, usec_t now)
{
  uint32_t limit
      = steer_slots (table->all.steer, table->all.slot[backend], now);
  return table->known[backend].backoff_until <= now
         && slots_used (table->slots, backend) < limit
         && slots_available (table->slots, backend, now) > 0;
}

/* A backend server with a free slot that this VM grants; BACKENDS_MAX where
   there is none.  */
static uint32_t
choose_local (backend_table_t *table, service_id_t service, usec_t now)
{
  const topology_t *topology = &table->options.settings->topology;
  domain_id_t home = topology->vms[table->options.self].domain;
  const steer_request_t request
      = { .service = service, .regions_open = ~(uint64_t)0 };
  steer_choice_t choice;
  if (!steer_choose_in_domain (table->local.steer, &request, home, now,
                               &table->random, &choice))
    return BACKENDS_MAX;
  uint32_t chosen = table->local.index[choice.slot];
  if (has_room (table, chosen, now))
    return chosen;
  for (uint32_t i = 0; i < table->n_known; i++)
    if (table->local.slot[i] != SLOT_NONE && table->known[i].is_in_sheet
        && table->known[i].backend.service == service
        && has_room (table, i, now))
      return i;
  return BACKENDS_MAX;
}

/* Whether this VM grants slots of a backend server for SERVICE that is neither
   in back-off nor ejected.  */
static bool
has_usable_local (backend_table_t *table, service_id_t service, usec_t now)
{
  for (uint32_t i = 0; i < table->n_known; i++)
    {
      const known_backend_t *known = &table->known[i];
      if (known->is_in_sheet && known->backend.service == service
          && known->owner == table->options.self && known->backoff_until <= now
          && steer_slots (table->all.steer, table->all.slot[i], now) > 0)
        return true;
    }
  return false;
}

static bool
can_forward_to (backend_table_t *table, vm_id_t vm, service_id_t service,
                uint64_t excluded_vms, usec_t now)
{
  return vm != table->options.self && vm < VM_MASK_BITS
         && !(excluded_vms & (UINT64_C (1) << vm))
         && *peer_full_until (table, vm, service) <= now
         && (!table->options.peers
             || peer_ledger_takes_forwarded (table->options.peers, vm));
}

static bool
admit_local (backend_table_t *table, service_id_t service, usec_t deadline,
             usec_t now, placement_t *place)
{
  place->backend = choose_local (table, service, now);
  if (place->backend == BACKENDS_MAX
      || slots_admit (table->slots, place->backend, deadline, now,
                      &place->token)
             != SLOT_GRANTED)
    return false;
  place->kind = PLACE_LOCAL;
  return true;
}

/* Exclude CHOICE from the next choice of REQUEST; its whole failure domain
   where CHOICE has no free slot, or where the list of excluded backend servers
   is full.  */
static void
exclude_choice (steer_request_t *request, const steer_choice_t *choice)
{
  if (choice->has_free_slot && request->n_tried < STEER_TRIED_MAX)
    request->tried[request->n_tried++] = choice->slot;
  else
    request->domains_refused |= UINT64_C (1) << choice->domain;
}

/* Take a slot of the best backend server here, or choose the entry VM that
   grants its slots.  Each iteration excludes a backend server or a failure
   domain, so the loop ends.  */
static bool
place_local_or_forward (backend_table_t *table, service_id_t service,
                        usec_t deadline, uint64_t excluded_vms, usec_t now,
                        placement_t *place)
{
  steer_request_t request = { .service = service,
                              .deadline = deadline,
                              .regions_open = ~(uint64_t)0 };
  steer_choice_t choice;
  while (
      steer_choose (table->all.steer, &request, now, &table->random, &choice))
    {
      uint32_t index = table->all.index[choice.slot];
      vm_id_t owner = table->known[index].owner;
      if (owner == table->options.self)
        {
          if (admit_local (table, service, deadline, now, place))
            return true;
        }
      else if (choice.has_free_slot
               && can_forward_to (table, owner, service, excluded_vms, now))
        {
          place->kind = PLACE_FORWARD;
          place->backend = index;
          place->vm = owner;
          return true;
        }
      exclude_choice (&request, &choice);
    }
  return false;
}

placement_t
backend_table_place (backend_table_t *table, service_id_t service,
                     usec_t deadline, uint64_t excluded_vms, bool may_forward,
                     usec_t now)
{
  placement_t place
      = { .kind = PLACE_NONE, .backend = BACKENDS_MAX, .vm = TOPOLOGY_NONE };
  if (may_forward)
    {
      if (!place_local_or_forward (table, service, deadline, excluded_vms, now,
                                   &place))
        place.kind = PLACE_WAIT;
    }
  else if (!admit_local (table, service, deadline, now, &place)
           && has_usable_local (table, service, now))
    place.kind = PLACE_WAIT;
  return place;
}

const backend_t *
backend_table_get (const backend_table_t *table, uint32_t backend)
{
  return &table->known[backend].backend;
}

slots_t *
backend_table_slots (backend_table_t *table)
{
  return table->slots;
}
