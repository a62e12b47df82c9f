#include "entry/backend_table.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/random.h"

enum
{
  BACKENDS_MAX = 4096, /* that one process ever hears of */
  STOP_MARGIN_MSEC = 100,
  PEER_FULL_MSEC = 2, /* that a refusal for want of room is believed */
  SHUN_FIRST_MSEC = 100,
  SHUN_LAST_MSEC = 1600,
  VMS_IN_MASK = 64,
};

typedef struct known_backend
{
  backend_t backend;
  vm_id_t owner;
  bool in_sheet;
  usec_t shunned_until;
  usec_t shun_time; /* after the next break */
} known_backend_t;

struct backend_table
{
  backend_table_options_t options;
  slots_t *slots;
  uint64_t version;
  known_backend_t known[BACKENDS_MAX];
  uint32_t n_known;
  usec_t *full_until; /* by VM and service */
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
  usec_t now = clock_monotonic ();
  random_seed (&table->random, (uint64_t)now);
  slots_options_t slots_options
      = { .self = options->self,
          .max_backends = BACKENDS_MAX,
          .longest_deadline = settings->limits.deadline_max,
          .stop_margin = STOP_MARGIN_MSEC * USEC_PER_MSEC,
          .started_at = now };
  slots_options.n_owners = domain_vms (
      topology, topology->vms[options->self].domain, slots_options.owners);
  table->slots = slots_new (&slots_options, err);
  table->full_until = calloc (topology->n_vms * topology->n_services,
                              sizeof *table->full_until);
  if (table->slots && table->full_until)
    return table;
  backend_table_free (table);
  return NULL;
}

void
backend_table_free (backend_table_t *table)
{
  slots_free_all (table->slots);
  free (table->full_until);
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
takes_work (const backend_t *backend)
{
  return backend->state == BACKEND_SERVING
         || backend->state == BACKEND_JOINING;
}

static void
learn (backend_table_t *table, const backend_t *backend)
{
  const topology_t *topology = &table->options.settings->topology;
  uint32_t index = find_known (table, backend);
  if (index == BACKENDS_MAX)
    return;
  uint64_t key = XXH64 (backend->name.text, strlen (backend->name.text), 0);
  vm_id_t owners[SLOT_OWNERS_MAX];
  size_t n_owners = domain_vms (topology, backend->domain, owners);
  known_backend_t *known = &table->known[index];
  known->backend = *backend;
  known->owner = slots_owner (owners, n_owners, key);
  known->in_sheet = true;
  if (known->owner != table->options.self)
    return;
  const service_t *service = &topology->services[backend->service];
  const slot_backend_t caps = { .key = key,
                                .slots = service->slots,
                                .connections = service->connections };
  slots_set_backend (table->slots, index, &caps, NULL);
  slots_set_leaving (table->slots, index, !takes_work (backend));
}

void
backend_table_tick (backend_table_t *table, usec_t now)
{
  slots_tick (table->slots, now);
  if (route_table_version (table->options.routes) == table->version)
    return;
  backend_t *backends = NULL;
  size_t n
      = route_table_copy (table->options.routes, &backends, &table->version);
  for (uint32_t i = 0; i < table->n_known; i++)
    {
      table->known[i].in_sheet = false;
      slots_set_leaving (table->slots, i, true);
    }
  for (size_t i = 0; i < n; i++)
    learn (table, &backends[i]);
  free (backends);
}

/* 0 in the own failure domain, 1 in the own region, 2 elsewhere.  */
static int
distance (const backend_table_t *table, domain_id_t domain)
{
  const topology_t *topology = &table->options.settings->topology;
  domain_id_t home = topology->vms[table->options.self].domain;
  if (domain == home)
    return 0;
  return topology->domains[domain].region == topology->domains[home].region
             ? 1
             : 2;
}

static usec_t *
full_until (backend_table_t *table, vm_id_t vm, service_id_t service)
{
  size_t n = table->options.settings->topology.n_services;
  return &table->full_until[vm * n + service];
}

void
backend_table_peer_full (backend_table_t *table, vm_id_t vm,
                         service_id_t service, usec_t now)
{
  *full_until (table, vm, service) = now + PEER_FULL_MSEC * USEC_PER_MSEC;
}

void
backend_table_broke (backend_table_t *table, uint32_t backend, usec_t now)
{
  known_backend_t *known = &table->known[backend];
  const usec_t first = SHUN_FIRST_MSEC * USEC_PER_MSEC;
  const usec_t last = SHUN_LAST_MSEC * USEC_PER_MSEC;
  if (now < known->shunned_until)
    return;
  known->shun_time = known->shun_time ? 2 * known->shun_time : first;
  if (known->shun_time > last)
    known->shun_time = last;
  known->shunned_until = now + known->shun_time;
}

void
backend_table_worked (backend_table_t *table, uint32_t backend)
{
  table->known[backend].shun_time = 0;
  table->known[backend].shunned_until = 0;
}

/* The backend server of ours with the most free slots; BACKENDS_MAX where
   none has one.  *OWNED says whether any is ours and works.  */
static uint32_t
pick_own (backend_table_t *table, service_id_t service, usec_t now,
          bool *owned)
{
  uint32_t best = BACKENDS_MAX;
  uint32_t best_free = 0;
  uint32_t start = (uint32_t)random_below (&table->random, table->n_known);
  for (uint32_t i = 0; i < table->n_known; i++)
    {
      uint32_t index = (start + i) % table->n_known;
      const known_backend_t *known = &table->known[index];
      if (!known->in_sheet || known->backend.service != service
          || !takes_work (&known->backend)
          || known->owner != table->options.self || known->shunned_until > now)
        continue;
      *owned = true;
      uint32_t n_free = slots_available (table->slots, index, now);
      if (n_free <= best_free)
        continue;
      best = index;
      best_free = n_free;
    }
  return best;
}

static bool
may_ask (backend_table_t *table, vm_id_t vm, service_id_t service,
         uint64_t tried, usec_t now)
{
  return vm != table->options.self && vm < VMS_IN_MASK
         && !(tried & (UINT64_C (1) << vm))
         && *full_until (table, vm, service) <= now
         && peer_ledger_reachable (table->options.peers, vm);
}

/* The nearest entry VM that admits for SERVICE.  */
static vm_id_t
pick_peer (backend_table_t *table, service_id_t service, uint64_t tried,
           usec_t now)
{
  vm_id_t best = TOPOLOGY_NONE;
  int best_distance = 3;
  uint32_t start = (uint32_t)random_below (&table->random, table->n_known);
  for (uint32_t i = 0; i < table->n_known; i++)
    {
      const known_backend_t *known
          = &table->known[(start + i) % table->n_known];
      if (!known->in_sheet || known->backend.service != service
          || !takes_work (&known->backend))
        continue;
      int far = distance (table, known->backend.domain);
      if (far >= best_distance
          || !may_ask (table, known->owner, service, tried, now))
        continue;
      best = known->owner;
      best_distance = far;
    }
  return best;
}

place_t
backend_table_place (backend_table_t *table, service_id_t service,
                     usec_t deadline, uint64_t tried, bool may_forward,
                     usec_t now)
{
  bool owned = false;
  place_t place = { .kind = PLACE_NOWHERE };
  place.backend = pick_own (table, service, now, &owned);
  if (place.backend < BACKENDS_MAX
      && slots_admit (table->slots, place.backend, deadline, now, &place.token)
             == SLOT_GRANTED)
    {
      place.kind = PLACE_HERE;
      return place;
    }
  place.vm
      = may_forward ? pick_peer (table, service, tried, now) : TOPOLOGY_NONE;
  if (place.vm != TOPOLOGY_NONE)
    place.kind = PLACE_FORWARD;
  else if (owned || may_forward)
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
