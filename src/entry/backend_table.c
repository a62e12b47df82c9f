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
  BACKENDS_MAX = 4096, /* that one process ever hears of */
  STOP_MARGIN_MSEC = 100,
  PEER_FULL_MSEC = 2, /* that a refusal for want of room is believed */
  BACKOFF_FIRST_MSEC = 100,
  BACKOFF_MAX_MSEC = 1600,
  VM_MASK_BITS = 64,
  SLOT_NONE = UINT16_MAX,
  TIMEOUT_DIVISOR = 4, /* of the service's deadline */
};

static const usec_t evaluation_interval = USEC_PER_SEC;

/* The backend servers that one choice is made among, and where each stands in
   it.  */
typedef struct candidate_set
{
  steer_t *steer;
  backend_slot_t slot[BACKENDS_MAX]; /* by index; SLOT_NONE: not in it */
  uint32_t index[BACKENDS_MAX];      /* by slot */
} candidate_set_t;

typedef struct known_backend
{
  backend_t backend;
  vm_id_t owner;
  bool is_in_sheet;
  usec_t backoff_until;
  usec_t backoff; /* after the next break */
} known_backend_t;

struct backend_table
{
  backend_table_options_t options;
  slots_t *slots;
  uint64_t sheet_number;
  known_backend_t known[BACKENDS_MAX];
  uint32_t n_known;
  candidate_set_t all;
  candidate_set_t local; /* those that this entry VM admits to */
  usec_t evaluated_at;
  usec_t *peer_full_until; /* by VM and service */
  random_state_t random;
};

static size_t
domain_vms (const topology_t *topology, domain_id_t domain,
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
  slots_options.n_owners = domain_vms (
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

/* The index of BACKEND; BACKENDS_MAX where there are too many.  */
static uint32_t
learn (backend_table_t *table, const backend_t *backend)
{
  const topology_t *topology = &table->options.settings->topology;
  uint32_t index = find_known (table, backend);
  if (index == BACKENDS_MAX)
    return index;
  uint64_t key = XXH64 (backend->name.text, strlen (backend->name.text), 0);
  vm_id_t owners[SLOT_OWNERS_MAX];
  size_t n_owners = domain_vms (topology, backend->domain, owners);
  known_backend_t *known = &table->known[index];
  known->backend = *backend;
  known->owner = slots_owner (owners, n_owners, key);
  known->is_in_sheet = true;
  if (known->owner != table->options.self)
    return index;
  const service_t *service = &topology->services[backend->service];
  const slot_backend_t caps = { .key = key,
                                .max_slots = service->slots,
                                .max_connections = service->connections };
  slots_set_backend (table->slots, index, &caps, NULL);
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

/* Put SHEET's backend servers in place of those known; SHEET's are sorted
   out on the way.  */
static void
apply_sheet (backend_table_t *table, sheet_t *sheet, usec_t now)
{
  for (uint32_t i = 0; i < table->n_known; i++)
    {
      table->known[i].is_in_sheet = false;
      slots_set_draining (table->slots, i, true);
    }
  size_t n_own = 0;
  size_t n_learnt = 0;
  backend_t *own = calloc (sheet->n_backends + 1, sizeof *own);
  if (!own)
    abort ();
  for (size_t i = 0; i < sheet->n_backends; i++)
    {
      uint32_t index = learn (table, &sheet->backends[i]);
      if (index == BACKENDS_MAX)
        continue;
      sheet->backends[n_learnt++] = sheet->backends[i];
      if (table->known[index].owner == table->options.self)
        own[n_own++] = table->known[index].backend;
    }
  sheet->n_backends = n_learnt;
  update_candidates (table, &table->all, sheet, now);
  sheet_t own_sheet = *sheet;
  own_sheet.backends = own;
  own_sheet.n_backends = n_own;
  update_candidates (table, &table->local, &own_sheet, now);
  free (own);
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
full_until (backend_table_t *table, vm_id_t vm, service_id_t service)
{
  size_t n = table->options.settings->topology.n_services;
  return &table->peer_full_until[vm * n + service];
}

void
backend_table_peer_full (backend_table_t *table, vm_id_t vm,
                         service_id_t service, usec_t now)
{
  *full_until (table, vm, service) = now + PEER_FULL_MSEC * USEC_PER_MSEC;
}

void
backend_table_attempt_failed (backend_table_t *table, uint32_t backend,
                              usec_t now)
{
  known_backend_t *known = &table->known[backend];
  const usec_t first = BACKOFF_FIRST_MSEC * USEC_PER_MSEC;
  const usec_t last = BACKOFF_MAX_MSEC * USEC_PER_MSEC;
  if (now < known->backoff_until)
    return;
  known->backoff = known->backoff ? 2 * known->backoff : first;
  if (known->backoff > last)
    known->backoff = last;
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
finish (candidate_set_t *set, uint32_t backend, run_outcome_t outcome,
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
  usec_t patience = topology->services[service].deadline / TIMEOUT_DIVISOR;
  /* A caller that gives little time says nothing of the server.  */
  if (outcome == OUTCOME_TIMED_OUT && latency < patience)
    outcome = OUTCOME_CANCELLED;
  finish (&table->all, backend, outcome, latency, now);
  finish (&table->local, backend, outcome, latency, now);
}

void
backend_table_report (backend_table_t *table, uint32_t backend,
                      const hint_t *hint)
{
  const char *name = table->known[backend].backend.name.text;
  steer_report (table->all.steer, name, HINT_ENDPOINT, hint);
  steer_report (table->local.steer, name, HINT_ENDPOINT, hint);
}

/* Whether BACKEND, which is admitted here, may run one more: fewer than its
   slots while it ramps, none while it is ejected.  */
static bool
has_room (backend_table_t *table, uint32_t backend, usec_t now)
{
  uint32_t limit
      = steer_slots (table->all.steer, table->all.slot[backend], now);
  return table->known[backend].backoff_until <= now
         && slots_used (table->slots, backend) < limit
         && slots_available (table->slots, backend, now) > 0;
}

/* A backend server of ours with room; BACKENDS_MAX where there is none.  */
static uint32_t
choose_local (backend_table_t *table, service_id_t service, usec_t now)
{
  const topology_t *topology = &table->options.settings->topology;
  domain_id_t home = topology->vms[table->options.self].domain;
  const steer_request_t wanted
      = { .service = service, .regions_open = ~(uint64_t)0 };
  steer_choice_t choice;
  if (!steer_choose_in_domain (table->local.steer, &wanted, home, now,
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

/* Whether a backend server for SERVICE is ours and works.  */
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
                uint64_t tried, usec_t now)
{
  return vm != table->options.self && vm < VM_MASK_BITS
         && !(tried & (UINT64_C (1) << vm))
         && *full_until (table, vm, service) <= now
         && (!table->options.peers
             || peer_ledger_reachable (table->options.peers, vm));
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

/* Leave CHOICE out of the next choice; its failure domain too where it is
   busy, or where no more single ones can be left out.  */
static void
exclude_choice (steer_request_t *wanted, const steer_choice_t *choice)
{
  if (choice->free && wanted->n_tried < STEER_TRIED_MAX)
    wanted->tried[wanted->n_tried++] = choice->slot;
  else
    wanted->domains_refused |= UINT64_C (1) << choice->domain;
}

/* The best backend server, here or by way of the entry VM that admits to it.
   Each turn leaves out a backend server or a failure domain.  */
static bool
place_local_or_forward (backend_table_t *table, service_id_t service,
                        usec_t deadline, uint64_t tried, usec_t now,
                        placement_t *place)
{
  steer_request_t wanted = { .service = service,
                             .deadline = deadline,
                             .regions_open = ~(uint64_t)0 };
  steer_choice_t choice;
  while (
      steer_choose (table->all.steer, &wanted, now, &table->random, &choice))
    {
      uint32_t index = table->all.index[choice.slot];
      vm_id_t owner = table->known[index].owner;
      if (owner == table->options.self)
        {
          if (admit_local (table, service, deadline, now, place))
            return true;
        }
      else if (choice.free
               && can_forward_to (table, owner, service, tried, now))
        {
          place->kind = PLACE_FORWARD;
          place->backend = index;
          place->vm = owner;
          return true;
        }
      exclude_choice (&wanted, &choice);
    }
  return false;
}

placement_t
backend_table_place (backend_table_t *table, service_id_t service,
                     usec_t deadline, uint64_t tried, bool may_forward,
                     usec_t now)
{
  placement_t place
      = { .kind = PLACE_NONE, .backend = BACKENDS_MAX, .vm = TOPOLOGY_NONE };
  if (may_forward)
    {
      if (!place_local_or_forward (table, service, deadline, tried, now,
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
