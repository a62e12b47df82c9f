#include "entry/costs.h"

#include <stdlib.h>

#include "base/clock.h"
#include "entry/link_shares.h"

enum
{
  HEADER_BYTES
  = 512, /* the usual size of a request's or an answer's headers */
};

struct costs
{
  costs_options_t options;
  link_shares_t *links;
  uint64_t sheet_number; /* whose cost cap is applied */
};

costs_t *
costs_new (const costs_options_t *options)
{
  costs_t *costs = calloc (1, sizeof *costs);
  if (!costs)
    abort ();
  costs->options = *options;
  costs->links = link_shares_new (&options->settings->topology, options->self,
                                  clock_monotonic ());
  return costs;
}

void
costs_free (costs_t *costs)
{
  link_shares_free (costs->links);
  free (costs);
}

void
costs_tick (costs_t *costs)
{
  uint64_t version = current_sheet_number (costs->options.current_sheet);
  uint64_t budget = 0;
  money_t cap = 0;
  if (version == costs->sheet_number
      || !current_sheet_cost_cap (costs->options.current_sheet, &budget, &cap))
    return;
  costs->sheet_number = version;
  spend_share_set_cap (costs->options.spend, budget, cap);
}

costs_result_t
costs_charge (costs_t *costs, const costs_request_t *request,
              spend_charge_t *charge, usec_t now)
{
  const topology_t *topology = &costs->options.settings->topology;
  money_t price = current_sheet_price (costs->options.current_sheet,
                                       request->service, request->region);
  spend_result_t result
      = spend_share_charge (costs->options.spend, price, charge);
  if (result != SPEND_CHARGED)
    return result == SPEND_RETRY_LATER ? COSTS_RETRY_LATER : COSTS_CAP_REACHED;
  size_t answer_bytes = topology->services[request->service].answer_bytes;
  if (link_shares_charge (costs->links, request->region,
                          request->request_bytes + HEADER_BYTES,
                          answer_bytes + HEADER_BYTES, now))
    return COSTS_CHARGED;
  costs_refund (costs, charge);
  return COSTS_LINK_FULL;
}

void
costs_refund (costs_t *costs, spend_charge_t *charge)
{
  if (charge->budget > 0)
    spend_share_refund (costs->options.spend, charge);
}
