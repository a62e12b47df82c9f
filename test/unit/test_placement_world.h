/* A topology of two regions with two failure domains each and one service, and
   a sheet for it; used by the tests of placement and shift.  */

#ifndef TEST_PLACEMENT_WORLD_H
#define TEST_PLACEMENT_WORLD_H

#include <stdio.h>

#include "shift/sheet_defs.h"

enum
{
  TEST_DOMAINS = 4,
  TEST_PER_DOMAIN = 2,
  TEST_BACKENDS = TEST_DOMAINS * TEST_PER_DOMAIN,
};

static region_t test_regions[2]
    = { { .name = { "sapporo" }, .capacity = 20 },
        { .name = { "hakodate" }, .capacity = 20 } };
static failure_domain_t test_domains[TEST_DOMAINS]
    = { { .region = 0 }, { .region = 0 }, { .region = 1 }, { .region = 1 } };
static service_t test_services[1] = { { .name = { "songfind" },
                                        .weight = 1,
                                        .slots = 3,
                                        .deadline = 400000,
                                        .answer_bytes = 1000 } };
static link_t test_links[2]
    = { { .from = 0, .to = 1, .bytes_per_second = 10000, .delay = 20000 },
        { .from = 1, .to = 0, .bytes_per_second = 10000, .delay = 20000 } };
static const topology_t test_topology = { .regions = test_regions,
                                          .n_regions = 2,
                                          .domains = test_domains,
                                          .n_domains = TEST_DOMAINS,
                                          .services = test_services,
                                          .n_services = 1,
                                          .links = test_links,
                                          .n_links = 2,
                                          .domain_delay = 500 };

typedef struct test_sheet
{
  sheet_t sheet;
  backend_t backends[TEST_BACKENDS];
  traffic_share_t shares[2];
  price_t prices[2];
} test_sheet_t;

static inline void
test_sheet_open (test_sheet_t *test)
{
  *test = (test_sheet_t){
    .shares
    = { { .region = 0, .percent = 60 }, { .region = 1, .percent = 40 } },
    .prices = { { .region = 0, .per_thousand = 1500 },
                { .region = 1, .per_thousand = 2500 } },
  };
  for (size_t i = 0; i < TEST_BACKENDS; i++)
    {
      backend_t *backend = &test->backends[i];
      snprintf (backend->name.text, sizeof backend->name.text, "b%zu", i);
      backend->domain = (domain_id_t)(i / TEST_PER_DOMAIN);
    }
  test->sheet = (sheet_t){ .currency = { "yen" },
                           .cost_cap = 2000,
                           .expected_requests = 1000,
                           .backends = test->backends,
                           .n_backends = TEST_BACKENDS,
                           .shares = test->shares,
                           .n_shares = 2,
                           .prices = test->prices,
                           .n_prices = 2 };
}

#endif
