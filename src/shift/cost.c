#include "shift/cost.h"

#include <stdlib.h>

#include "placement/topology.h"

enum
{
  PERCENT = 100,
  PRICE_REQUESTS = 1000,
};

static bool
takes_work (const backend_t *backend)
{
  return backend->state == BACKEND_SERVING
         || backend->state == BACKEND_JOINING;
}

/* Backend servers of SERVICE in REGION that take new work.  */
static uint32_t
count_backends (const sheet_t *sheet, const topology_t *topology,
                service_id_t service, region_id_t region)
{
  uint32_t n = 0;
  for (size_t i = 0; i < sheet->n_backends; i++)
    {
      const backend_t *backend = &sheet->backends[i];
      n += backend->service == service && takes_work (backend)
           && topology->domains[backend->domain].region == region;
    }
  return n;
}

static bool
has_share_record (const sheet_t *sheet, service_id_t service)
{
  for (size_t i = 0; i < sheet->n_shares; i++)
    if (sheet->shares[i].service == service)
      return true;
  return false;
}

static bool
has_backend (const sheet_t *sheet, service_id_t service)
{
  for (size_t i = 0; i < sheet->n_backends; i++)
    if (sheet->backends[i].service == service)
      return true;
  return false;
}

/* An equal part of 100 percent for each region with a backend server; the
   remainder goes to the first of them.  */
static uint32_t
equal_share (const sheet_t *sheet, const topology_t *topology,
             service_id_t service, region_id_t region)
{
  uint32_t n = 0;
  uint32_t place = 0;
  for (size_t r = 0; r < topology->n_regions; r++)
    if (count_backends (sheet, topology, service, (region_id_t)r) > 0)
      {
        place += r < region;
        n++;
      }
  if (n == 0 || count_backends (sheet, topology, service, region) == 0)
    return 0;
  return PERCENT / n + (place < PERCENT % n);
}

uint32_t
cost_share (const sheet_t *sheet, const topology_t *topology,
            service_id_t service, region_id_t region)
{
  if (!has_share_record (sheet, service))
    return equal_share (sheet, topology, service, region);
  uint32_t percent = 0;
  for (size_t i = 0; i < sheet->n_shares; i++)
    if (sheet->shares[i].service == service
        && sheet->shares[i].region == region)
      percent += sheet->shares[i].percent;
  return percent;
}

static bool
price_find (const sheet_t *sheet, service_id_t service, region_id_t region,
            money_t *per_thousand)
{
  bool found = false;
  for (size_t i = 0; i < sheet->n_prices; i++)
    {
      const price_t *price = &sheet->prices[i];
      if (price->service != service || price->region != region)
        continue;
      if (!found || price->per_thousand > *per_thousand)
        *per_thousand = price->per_thousand;
      found = true;
    }
  return found;
}

bool
cost_of_request (const sheet_t *sheet, service_id_t service,
                 region_id_t region, money_t *price)
{
  money_t per_thousand = 0;
  if (!price_find (sheet, service, region, &per_thousand))
    return false;
  *price = per_thousand / PRICE_REQUESTS + (per_thousand % PRICE_REQUESTS > 0);
  return true;
}

/* AMOUNT * NUMERATOR / DENOMINATOR, rounded up.  */
static money_t
scale_up (money_t amount, uint64_t numerator, uint64_t denominator)
{
  __int128 product = (__int128)amount * (__int128)numerator;
  return (money_t)((product + (__int128)denominator - 1)
                   / (__int128)denominator);
}

static uint64_t
count_services (const sheet_t *sheet, const topology_t *topology)
{
  uint64_t n = 0;
  for (size_t s = 0; s < topology->n_services; s++)
    n += has_backend (sheet, (service_id_t)s);
  return n;
}

/* Add the cost of SERVICE in REGION, which serves PERCENT of its requests.  */
static bool
add_region (cost_t *cost, const sheet_t *sheet, const topology_t *topology,
            service_id_t service, region_id_t region, uint32_t percent,
            err_t *err)
{
  const char *service_name = topology->services[service].name.text;
  const char *region_name = topology->regions[region].name.text;
  money_t price = 0;
  if (!price_find (sheet, service, region, &price))
    return err_set (err, ERR_SHEET, "add the missing price record",
                    "%s has %u%% in %s but no price there", service_name,
                    percent, region_name);
  uint64_t n_services = count_services (sheet, topology);
  cost_region_t *in_region = &cost->regions[region];
  uint64_t requests = sheet->expected_requests * percent;
  in_region->expected += scale_up (
      price, requests, (uint64_t)PERCENT * PRICE_REQUESTS * n_services);
  money_t worst
      = scale_up (price, requests, (uint64_t)PERCENT * PRICE_REQUESTS);
  if (worst > in_region->worst)
    in_region->worst = worst;
  money_t request = scale_up (price, 1, PRICE_REQUESTS);
  if (request > cost->worst_request)
    cost->worst_request = request;
  return true;
}

static bool
add_service (cost_t *cost, const sheet_t *sheet, const topology_t *topology,
             service_id_t service, err_t *err)
{
  const char *name = topology->services[service].name.text;
  uint32_t sum = 0;
  for (size_t r = 0; r < topology->n_regions; r++)
    {
      uint32_t percent = cost_share (sheet, topology, service, (region_id_t)r);
      sum += percent;
      if (percent == 0)
        continue;
      if (count_backends (sheet, topology, service, (region_id_t)r) == 0)
        return err_set (
            err, ERR_SHEET,
            "move the share, or keep a backend server serving there",
            "%s has %u%% in %s but no backend server that takes work there",
            name, percent, topology->regions[r].name.text);
      if (!add_region (cost, sheet, topology, service, (region_id_t)r, percent,
                       err))
        return false;
    }
  if (sum != PERCENT)
    return err_set (err, ERR_SHEET, "make the shares of a service sum to 100",
                    "the shares of %s sum to %u", name, sum);
  return true;
}

static double
load_total (const double *load, const topology_t *topology,
            service_id_t service)
{
  double sum = 0;
  for (size_t r = 0; r < topology->n_regions; r++)
    sum += load[service * topology->n_regions + r];
  return sum;
}

/* Add the answer bytes per second of SERVICE on each link.  A region whose
   planned share exceeds its own demand serves requests of the regions whose
   demand exceeds theirs, in proportion.  */
static void
add_links (cost_t *cost, const sheet_t *sheet, const topology_t *topology,
           service_id_t service, const shift_load_t *load)
{
  const double *demand = &load->per_second[service * topology->n_regions];
  double total = load_total (load->per_second, topology, service);
  double total_unused = 0;
  for (size_t r = 0; r < topology->n_regions; r++)
    {
      double planned = total
                       * cost_share (sheet, topology, service, (region_id_t)r)
                       / PERCENT;
      total_unused += planned > demand[r] ? planned - demand[r] : 0;
    }
  for (size_t i = 0; i < topology->n_links && total_unused > 0; i++)
    {
      const link_t *link = &topology->links[i];
      double served = total * cost_share (sheet, topology, service, link->from)
                      / PERCENT;
      double served_at_home
          = total * cost_share (sheet, topology, service, link->to) / PERCENT;
      double unused = served - demand[link->from];
      double excess = demand[link->to] - served_at_home;
      if (unused > 0 && excess > 0)
        cost->link_bytes[i] += excess * unused / total_unused
                               * topology->services[service].answer_bytes;
    }
}

static void
add_load (cost_t *cost, const sheet_t *sheet, const topology_t *topology,
          service_id_t service, const shift_load_t *load)
{
  double total = load_total (load->in_flight, topology, service);
  for (size_t r = 0; r < topology->n_regions; r++)
    cost->region_in_flight[r]
        += total * cost_share (sheet, topology, service, (region_id_t)r)
           / PERCENT;
  add_links (cost, sheet, topology, service, load);
}

bool
cost_of_sheet (cost_t *cost, const sheet_t *sheet, const topology_t *topology,
               const shift_load_t *load, err_t *err)
{
  *cost = (cost_t){ 0 };
  cost->regions = calloc (topology->n_regions + 1, sizeof *cost->regions);
  cost->region_in_flight = calloc (topology->n_regions + 1, sizeof (double));
  cost->link_bytes = calloc (topology->n_links + 1, sizeof (double));
  for (size_t s = 0; s < topology->n_services; s++)
    {
      service_id_t service = (service_id_t)s;
      if (!has_backend (sheet, service) && !has_share_record (sheet, service))
        continue;
      if (!add_service (cost, sheet, topology, service, err))
        return false;
      if (load)
        add_load (cost, sheet, topology, service, load);
    }
  for (size_t r = 0; r < topology->n_regions; r++)
    cost->expected += cost->regions[r].expected;
  cost->worst
      = cost->worst_request > 0
            ? scale_up (cost->worst_request, sheet->expected_requests, 1)
            : 0;
  return true;
}

void
cost_free (cost_t *cost)
{
  free (cost->regions);
  free (cost->link_bytes);
  free (cost->region_in_flight);
}

static bool
check_cap (const cost_t *cost, const sheet_t *sheet, err_t *err)
{
  static const char remedy[]
      = "raise the cost cap, expect fewer requests or move shares to cheaper "
        "regions";
  const char *currency = sheet->currency.text;
  if (cost->expected > sheet->cost_cap)
    return err_set (err, ERR_LIMIT, remedy,
                    "the plan is expected to cost %lld %s, %lld over its cap "
                    "of %lld",
                    (long long)cost->expected, currency,
                    (long long)(cost->expected - sheet->cost_cap),
                    (long long)sheet->cost_cap);
  if (cost->worst_request > sheet->cost_cap)
    return err_set (err, ERR_LIMIT, remedy,
                    "one request may cost %lld %s, more than the whole cap "
                    "of %lld",
                    (long long)cost->worst_request, currency,
                    (long long)sheet->cost_cap);
  return true;
}

/* Whether the slots of each service suffice for its planned load in REGION. */
static bool
check_slots (const sheet_t *sheet, const topology_t *topology,
             region_id_t region, const shift_load_t *load, err_t *err)
{
  for (size_t s = 0; s < topology->n_services; s++)
    {
      service_id_t service = (service_id_t)s;
      double need = load_total (load->in_flight, topology, service)
                    * cost_share (sheet, topology, service, region) / PERCENT;
      double slots = count_backends (sheet, topology, service, region)
                     * (double)topology->services[s].slots
                     * (1 - load->headroom);
      if (need > slots)
        return err_set (
            err, ERR_LIMIT,
            "drain fewer backend servers at once, or wait for less load",
            "%s in %s would have %.1f requests running and has slots for "
            "%.1f with the headroom kept",
            topology->services[s].name.text,
            topology->regions[region].name.text, need, slots);
    }
  return true;
}

static bool
check_load (const cost_t *cost, const sheet_t *sheet,
            const topology_t *topology, const shift_load_t *load, err_t *err)
{
  double usable = 1 - load->headroom;
  for (size_t r = 0; r < topology->n_regions; r++)
    {
      const region_t *region = &topology->regions[r];
      if (!check_slots (sheet, topology, (region_id_t)r, load, err))
        return false;
      if (cost->region_in_flight[r] > region->capacity * usable)
        return err_set (err, ERR_LIMIT, "move shares to another region",
                        "%s would have %.1f requests in flight and carries "
                        "%.1f with the headroom kept",
                        region->name.text, cost->region_in_flight[r],
                        region->capacity * usable);
    }
  for (size_t i = 0; i < topology->n_links; i++)
    {
      const link_t *link = &topology->links[i];
      double usable_bytes = (double)link->bytes_per_second * usable;
      if (cost->link_bytes[i] > usable_bytes)
        return err_set (err, ERR_LIMIT,
                        "keep more of the traffic in its own region",
                        "the link from %s to %s would carry %.0f bytes a "
                        "second and has room for %.0f with the headroom kept",
                        topology->regions[link->from].name.text,
                        topology->regions[link->to].name.text,
                        cost->link_bytes[i], usable_bytes);
    }
  return true;
}

/* Check that each region has capacity for all slots of its backend servers.
   As nothing runs without a slot, such a region can't be overloaded.  Leaving
   servers count, because the requests that they have started still run.  */
static bool
check_capacity (const sheet_t *sheet, const topology_t *topology, err_t *err)
{
  for (size_t r = 0; r < topology->n_regions; r++)
    {
      uint64_t slots = 0;
      for (size_t i = 0; i < sheet->n_backends; i++)
        {
          const backend_t *backend = &sheet->backends[i];
          if (topology->domains[backend->domain].region == r)
            slots += topology->services[backend->service].slots;
        }
      if (slots > topology->regions[r].capacity)
        return err_set (
            err, ERR_LIMIT,
            "list fewer backend servers there, or raise the "
            "region's capacity in the settings if it has grown",
            "the backend servers in %s have %llu slots, %llu over "
            "the region's capacity of %u",
            topology->regions[r].name.text, (unsigned long long)slots,
            (unsigned long long)slots - topology->regions[r].capacity,
            topology->regions[r].capacity);
    }
  return true;
}

bool
cost_check (const sheet_t *sheet, const topology_t *topology,
            const shift_load_t *load, err_t *err)
{
  cost_t cost;
  bool accepted = cost_of_sheet (&cost, sheet, topology, load, err)
                  && check_cap (&cost, sheet, err)
                  && check_capacity (sheet, topology, err)
                  && (!load || check_load (&cost, sheet, topology, load, err));
  cost_free (&cost);
  return accepted;
}
