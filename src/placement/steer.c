#include "placement/steer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PERCENT = 100,
  LATENCY_GUESS_DIVISOR = 10, /* of the deadline, until latency is measured */
  EJECTION_PEERS_MIN = 3,
};

/* Cost of leaving the home region, in expected service times at a headroom
   weight of 1: links between regions are narrow, so they are used only where
   waiting at home costs more.  */
static const double headroom_cost = 1.0;

/* Cost of the most expensive region relative to a free one, in service
   times.  */
static const double price_cost = 0.25;

/* Older measurements do not show the present state of a cache that warms
   up.  */
static const usec_t slowdown_max_age = USEC_PER_SEC;

/* One backend server, identified by its name across sheets.  */
typedef struct entry
{
  backend_t backend;
  observe_t observe;
  bool in_use; /* in the sheet, or requests are in flight to it */
  bool in_sheet;
  bool listed; /* in the sheet, and takes new requests */
} entry_t;

struct steer
{
  steer_options_t options;
  entry_t *entries;
  size_t n_entries;
  size_t entries_size;
  backend_slot_t *order; /* listed slots, by service and domain */
  uint32_t *first;       /* into order, by service * n_domains + domain */
  double *share;         /* 0 to 1, by service * n_regions + region */
  double *price;         /* relative to the highest, indexed as share */
  double *latency;       /* moving median of answers, usec, by service */
  domain_id_t *nearest;  /* domains by delay from home */
};

static size_t
table_domains (const steer_t *steer)
{
  return steer->options.topology->n_domains;
}

static usec_t
home_delay (const steer_t *steer, domain_id_t domain)
{
  return topology_delay (steer->options.topology, steer->options.home, domain);
}

static region_id_t
home_region (const steer_t *steer)
{
  return steer->options.topology->domains[steer->options.home].region;
}

static void
sort_domains (steer_t *steer)
{
  size_t n = table_domains (steer);
  for (size_t i = 0; i < n; i++)
    {
      domain_id_t domain = (domain_id_t)i;
      size_t at = i;
      while (at > 0
             && home_delay (steer, steer->nearest[at - 1])
                    > home_delay (steer, domain))
        {
          steer->nearest[at] = steer->nearest[at - 1];
          at--;
        }
      steer->nearest[at] = domain;
    }
}

steer_t *
steer_new (const steer_options_t *options, err_t *err)
{
  const topology_t *topology = options->topology;
  if (topology->n_regions > STEER_REGIONS_MAX
      || topology->n_domains > STEER_DOMAINS_MAX
      || options->home >= topology->n_domains)
    {
      err_set (err, ERR_USAGE,
               "use at most 64 regions and 64 failure domains, and a home "
               "failure domain of the settings",
               "topology of %zu regions with home failure domain index %u of "
               "%zu",
               topology->n_regions, options->home, topology->n_domains);
      return NULL;
    }
  steer_t *steer = calloc (1, sizeof *steer);
  steer->options = *options;
  size_t by_region = topology->n_services * topology->n_regions;
  size_t by_domain = topology->n_services * topology->n_domains;
  steer->share = calloc (by_region, sizeof *steer->share);
  steer->price = calloc (by_region, sizeof *steer->price);
  steer->latency = calloc (topology->n_services, sizeof *steer->latency);
  steer->first = calloc (by_domain + 1, sizeof *steer->first);
  steer->nearest = calloc (topology->n_domains, sizeof *steer->nearest);
  sort_domains (steer);
  return steer;
}

void
steer_free (steer_t *steer)
{
  if (!steer)
    return;
  free (steer->entries);
  free (steer->order);
  free (steer->first);
  free (steer->share);
  free (steer->price);
  free (steer->latency);
  free (steer->nearest);
  free (steer);
}

bool
steer_find (const steer_t *steer, const char *name, backend_slot_t *slot)
{
  for (size_t i = 0; i < steer->n_entries; i++)
    if (steer->entries[i].in_use
        && strcmp (steer->entries[i].backend.name.text, name) == 0)
      {
        *slot = (backend_slot_t)i;
        return true;
      }
  return false;
}

/* An unused entry; the table grows where there is none.  */
static entry_t *
entry_allocate (steer_t *steer)
{
  for (size_t i = 0; i < steer->n_entries; i++)
    if (!steer->entries[i].in_use)
      return &steer->entries[i];
  if (steer->n_entries == steer->entries_size)
    {
      steer->entries_size = steer->entries_size * 2 + 16;
      steer->entries
          = realloc (steer->entries, steer->entries_size * sizeof (entry_t));
    }
  return &steer->entries[steer->n_entries++];
}

static bool
takes_work (backend_state_t state)
{
  return state == BACKEND_SERVING || state == BACKEND_JOINING;
}

static void
entry_update (steer_t *steer, const backend_t *backend, bool first_sheet,
              usec_t now)
{
  backend_slot_t slot;
  entry_t *entry = NULL;
  bool fresh = !steer_find (steer, backend->name.text, &slot);
  if (fresh)
    {
      entry = entry_allocate (steer);
      memset (entry, 0, sizeof *entry);
    }
  else
    entry = &steer->entries[slot];
  bool listed = takes_work (backend->state);
  if (fresh || (listed && !takes_work (entry->backend.state)))
    {
      uint32_t in_flight = entry->observe.in_flight;
      bool cold = !first_sheet || backend->state == BACKEND_JOINING;
      observe_init (&entry->observe, cold, now);
      entry->observe.in_flight = in_flight;
    }
  entry->backend = *backend;
  entry->in_use = true;
  entry->in_sheet = true;
  entry->listed = listed;
}

static size_t
entry_bin (const steer_t *steer, const entry_t *entry)
{
  return entry->backend.service * table_domains (steer)
         + entry->backend.domain;
}

/* Counting sort of the listed slots by service and domain.  */
static void
order_build (steer_t *steer)
{
  size_t n_bins = steer->options.topology->n_services * table_domains (steer);
  memset (steer->first, 0, (n_bins + 1) * sizeof *steer->first);
  for (size_t i = 0; i < steer->n_entries; i++)
    if (steer->entries[i].listed)
      steer->first[entry_bin (steer, &steer->entries[i]) + 1]++;
  for (size_t bin = 0; bin < n_bins; bin++)
    steer->first[bin + 1] += steer->first[bin];
  free (steer->order);
  steer->order = calloc (steer->first[n_bins] + 1, sizeof *steer->order);
  uint32_t *next = calloc (n_bins + 1, sizeof *next);
  memcpy (next, steer->first, n_bins * sizeof *next);
  for (size_t i = 0; i < steer->n_entries; i++)
    if (steer->entries[i].listed)
      steer->order[next[entry_bin (steer, &steer->entries[i])]++]
          = (backend_slot_t)i;
  free (next);
}

static void
shares_build (steer_t *steer, const sheet_t *sheet)
{
  const topology_t *topology = steer->options.topology;
  size_t n = topology->n_services * topology->n_regions;
  for (size_t i = 0; i < n; i++)
    {
      steer->share[i] = 1.0 / (double)topology->n_regions;
      steer->price[i] = 0;
    }
  for (size_t i = 0; i < sheet->n_shares; i++)
    for (size_t r = 0; r < topology->n_regions; r++)
      steer->share[sheet->shares[i].service * topology->n_regions + r] = 0;
  for (size_t i = 0; i < sheet->n_shares; i++)
    {
      const traffic_share_t *share = &sheet->shares[i];
      steer->share[share->service * topology->n_regions + share->region]
          = share->percent / (double)PERCENT;
    }
  money_t highest_price = 1;
  for (size_t i = 0; i < sheet->n_prices; i++)
    if (sheet->prices[i].per_thousand > highest_price)
      highest_price = sheet->prices[i].per_thousand;
  for (size_t i = 0; i < sheet->n_prices; i++)
    {
      const price_t *price = &sheet->prices[i];
      steer->price[price->service * topology->n_regions + price->region]
          = (double)price->per_thousand / (double)highest_price;
    }
}

bool
steer_update (steer_t *steer, const sheet_t *sheet, usec_t now, err_t *err)
{
  if (sheet->n_backends > STEER_BACKENDS_MAX / 2)
    return err_set (err, ERR_LIMIT, "list fewer backend servers",
                    "the sheet lists %zu backend servers; the limit is %d",
                    sheet->n_backends, STEER_BACKENDS_MAX / 2);
  bool first_sheet = steer->n_entries == 0;
  for (size_t i = 0; i < steer->n_entries; i++)
    {
      entry_t *entry = &steer->entries[i];
      entry->in_sheet = false;
      entry->listed = false;
    }
  for (size_t i = 0; i < sheet->n_backends; i++)
    entry_update (steer, &sheet->backends[i], first_sheet, now);
  for (size_t i = 0; i < steer->n_entries; i++)
    {
      entry_t *entry = &steer->entries[i];
      entry->in_use = entry->in_sheet || entry->observe.in_flight > 0;
    }
  order_build (steer);
  shares_build (steer, sheet);
  return true;
}

/* The state of one choice.  */
typedef struct search
{
  steer_t *steer;
  const steer_request_t *request;
  usec_t now;
  random_state_t *random;
  steer_choice_t best;
  double best_score;
  bool found;
} search_t;

static double
default_latency (const steer_t *steer, service_id_t service)
{
  if (steer->latency[service] > 0)
    return steer->latency[service];
  const service_t *known = &steer->options.topology->services[service];
  return (double)known->deadline / LATENCY_GUESS_DIVISOR;
}

static bool
was_tried (const steer_request_t *request, backend_slot_t slot)
{
  for (size_t i = 0; i < request->n_tried; i++)
    if (request->tried[i] == slot)
      return true;
  return false;
}

/* Cost of sending a request to REGION besides time, expressed in usec.  */
static double
region_cost (const steer_t *steer, service_id_t service, region_id_t region)
{
  const topology_t *topology = steer->options.topology;
  double unit = default_latency (steer, service);
  double cost = price_cost * unit
                * steer->price[service * topology->n_regions + region];
  if (region != home_region (steer))
    cost += headroom_cost * topology->objective.headroom * unit;
  return cost;
}

/* Score the server in SLOT and keep it if its score is the lowest so far.  */
static void
score_backend (search_t *search, backend_slot_t slot)
{
  steer_t *steer = search->steer;
  entry_t *entry = &steer->entries[slot];
  if (was_tried (search->request, slot)
      || !observe_usable (&entry->observe, search->now))
    return;
  const topology_t *topology = steer->options.topology;
  service_id_t service = search->request->service;
  domain_id_t domain = entry->backend.domain;
  region_id_t region = topology->domains[domain].region;
  if (region != home_region (steer)
      && observe_backing_off (&entry->observe, search->now))
    return;
  double limit = observe_limit (
      &entry->observe, topology->services[service].slots, search->now);
  double load = observe_load (&entry->observe, search->now);
  double latency = observe_latency (
      &entry->observe, default_latency (steer, service), search->now);
  double queued = fmax (0, load + 1 - limit);
  double time = 2 * (double)home_delay (steer, domain)
                + latency * (1 + queued / limit);
  /* Among equal servers, prefer the less loaded one.  */
  double score = time + latency * load / limit / 2
                 + region_cost (steer, service, region);
  if (search->found && score >= search->best_score)
    return;
  search->found = true;
  search->best_score = score;
  search->best = (steer_choice_t){ .slot = slot,
                                   .region = region,
                                   .domain = domain,
                                   .has_free_slot = queued <= 0,
                                   .expected_time = (usec_t)time };
}

/* Score two random servers of DOMAIN (power of two choices).  */
static void
sample_domain (search_t *search, domain_id_t domain)
{
  steer_t *steer = search->steer;
  size_t bin = search->request->service * table_domains (steer) + domain;
  uint32_t first = steer->first[bin];
  uint32_t n = steer->first[bin + 1] - first;
  if (n == 0)
    return;
  uint32_t a = (uint32_t)random_below (search->random, n);
  score_backend (search, steer->order[first + a]);
  if (n == 1)
    return;
  uint32_t b = (a + 1 + (uint32_t)random_below (search->random, n - 1)) % n;
  score_backend (search, steer->order[first + b]);
}

static bool
region_allowed (const steer_t *steer, const steer_request_t *request,
                region_id_t region)
{
  const topology_t *topology = steer->options.topology;
  bool planned
      = steer->share[request->service * topology->n_regions + region] > 0;
  return planned && (request->regions_open >> region & 1);
}

/* Sample the failure domains, nearest first.  Go on to domains with a greater
   delay only where no free slot was found.  */
static void
search_by_distance (search_t *search)
{
  const steer_t *steer = search->steer;
  const topology_t *topology = steer->options.topology;
  usec_t tier_delay = 0;
  for (size_t i = 0; i < table_domains (steer); i++)
    {
      domain_id_t domain = steer->nearest[i];
      usec_t delay = home_delay (steer, domain);
      if (delay != tier_delay && search->found && search->best.has_free_slot)
        return;
      tier_delay = delay;
      if (!(search->request->domains_refused >> domain & 1)
          && region_allowed (steer, search->request,
                             topology->domains[domain].region))
        sample_domain (search, domain);
    }
}

bool
steer_choose (steer_t *steer, const steer_request_t *request, usec_t now,
              random_state_t *random, steer_choice_t *choice)
{
  search_t search
      = { .steer = steer, .request = request, .now = now, .random = random };
  search_by_distance (&search);
  *choice = search.best;
  return search.found;
}

bool
steer_choose_in_domain (steer_t *steer, const steer_request_t *request,
                        domain_id_t domain, usec_t now, random_state_t *random,
                        steer_choice_t *choice)
{
  search_t search
      = { .steer = steer, .request = request, .now = now, .random = random };
  sample_domain (&search, domain);
  *choice = search.best;
  return search.found;
}

void
steer_started (steer_t *steer, backend_slot_t slot)
{
  observe_start (&steer->entries[slot].observe);
}

/* Number of servers of SERVICE that may be chosen, and in *N_LISTED of all
   that take new requests.  */
static size_t
count_usable (const steer_t *steer, service_id_t service, usec_t now,
              size_t *n_listed)
{
  size_t n_usable = 0;
  *n_listed = 0;
  for (size_t i = 0; i < steer->n_entries; i++)
    {
      const entry_t *entry = &steer->entries[i];
      if (!entry->listed || entry->backend.service != service)
        continue;
      (*n_listed)++;
      n_usable += observe_usable (&entry->observe, now);
    }
  return n_usable;
}

/* Eject ENTRY if it is an outlier, unless too few peers would be left: about
   half of the servers of its service always stay usable.  */
static bool
eject_if_outlier (steer_t *steer, entry_t *entry, usec_t now)
{
  service_id_t service = entry->backend.service;
  size_t n_listed = 0;
  size_t n_usable = count_usable (steer, service, now, &n_listed);
  if (n_usable * 2 <= n_listed + 1 || n_usable < EJECTION_PEERS_MIN)
    return false;
  return observe_eject_outlier (&entry->observe, steer->latency[service], now);
}

size_t
steer_tick (steer_t *steer, usec_t now)
{
  size_t n_ejected = 0;
  for (size_t i = 0; i < steer->n_entries; i++)
    if (steer->entries[i].listed)
      n_ejected += eject_if_outlier (steer, &steer->entries[i], now);
  return n_ejected;
}

double
steer_slowdown (const steer_t *steer, region_id_t region, usec_t now)
{
  double sum = 0;
  size_t n_measured = 0;
  for (size_t i = 0; i < steer->n_entries; i++)
    {
      const entry_t *entry = &steer->entries[i];
      const observe_t *observe = &entry->observe;
      domain_id_t domain = entry->backend.domain;
      if (!entry->listed || observe->baseline_latency <= 0
          || observe->latency <= 0
          || now - observe->last_result_at > slowdown_max_age
          || steer->options.topology->domains[domain].region != region)
        continue;
      sum += observe->latency / observe->baseline_latency;
      n_measured++;
    }
  return n_measured > 0 ? sum / (double)n_measured : 1;
}

static void
service_latency (steer_t *steer, service_id_t service, usec_t latency)
{
  static const double median_step = 0.02;
  double *median = &steer->latency[service];
  if (*median <= 0)
    *median = (double)latency;
  else
    *median *= (double)latency > *median ? 1 + median_step : 1 - median_step;
}

/* Back off from all servers of the same gate, as the gate's refusal applies to
   each of them.  */
static void
back_off_gate (steer_t *steer, const entry_t *entry, usec_t now)
{
  size_t bin = entry_bin (steer, entry);
  for (uint32_t i = steer->first[bin]; i < steer->first[bin + 1]; i++)
    observe_back_off (&steer->entries[steer->order[i]].observe, now);
}

bool
steer_finished (steer_t *steer, backend_slot_t slot, backend_slot_t ran_on,
                run_outcome_t outcome, usec_t latency, usec_t now)
{
  entry_t *entry = &steer->entries[slot];
  entry_t *ran = &steer->entries[ran_on];
  observe_decrement_in_flight (&entry->observe);
  observe_end (&ran->observe, outcome, latency, now);
  entry->in_use = entry->in_sheet || entry->observe.in_flight > 0;
  switch (outcome)
    {
    case OUTCOME_ANSWERED:
      service_latency (steer, ran->backend.service, latency);
      return false;
    case OUTCOME_DOWN:
    case OUTCOME_FAILED:
    case OUTCOME_TIMED_OUT:
      return ran->listed && eject_if_outlier (steer, ran, now);
    case OUTCOME_REFUSED:
      back_off_gate (steer, entry, now);
      return false;
    case OUTCOME_CANCELLED:
      return false;
    }
  return false;
}

void
steer_report_slot (steer_t *steer, backend_slot_t slot, hint_source_t source,
                   const hint_t *hint)
{
  observe_hint (&steer->entries[slot].observe, source, hint);
}

void
steer_report (steer_t *steer, const char *name, hint_source_t source,
              const hint_t *hint)
{
  backend_slot_t slot;
  if (steer_find (steer, name, &slot))
    steer_report_slot (steer, slot, source, hint);
}

uint32_t
steer_slots (steer_t *steer, backend_slot_t slot, usec_t now)
{
  entry_t *entry = &steer->entries[slot];
  if (!entry->listed || !observe_usable (&entry->observe, now))
    return 0;
  const service_t *service
      = &steer->options.topology->services[entry->backend.service];
  return (uint32_t)observe_limit (&entry->observe, service->slots, now);
}

const backend_t *
steer_backend (const steer_t *steer, backend_slot_t slot)
{
  return &steer->entries[slot].backend;
}

const observe_t *
steer_observe (const steer_t *steer, backend_slot_t slot)
{
  return &steer->entries[slot].observe;
}
