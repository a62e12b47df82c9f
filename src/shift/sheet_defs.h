/* sheet_defs: what an operator's sheet says once it has been parsed.  */

#ifndef SHIFT_SHEET_DEFS_H
#define SHIFT_SHEET_DEFS_H

#include <stddef.h>
#include <stdint.h>

#include "placement/topology_defs.h"

/* Money in the currency's smallest unit (haler, yen).  */
typedef int64_t money_t;

/* Caps are counted in thousandths too.  */
#define MONEY_CAP_MAX (INT64_MAX / 4000)

typedef enum
{
  BACKEND_SERVING,
  BACKEND_JOINING,  /* takes work, at a growing rate */
  BACKEND_LEAVING,  /* takes no new work; what runs is finished */
  BACKEND_STOPPING, /* a planned stop: as leaving, then it may go */
} backend_state_t;

/* One backend server of one service.  */
typedef struct backend
{
  name_t name;
  service_id_t service;
  domain_id_t domain;
  char address[ADDRESS_BYTES];
  uint16_t port;
  backend_state_t state;
} backend_t;

/* The planned share of SERVICE's requests for REGION.  */
typedef struct traffic_share
{
  service_id_t service;
  region_id_t region;
  uint32_t percent;
} traffic_share_t;

/* What 1,000 requests of SERVICE cost in REGION.  A row for all services has
   become one for each.  */
typedef struct price
{
  service_id_t service;
  region_id_t region;
  money_t per_thousand;
} price_t;

typedef struct sheet
{
  uint64_t number; /* rises with every sheet */
  uint64_t budget; /* sheets with the same one spend from one cap; the
                      number where not given */
  name_t operator_name;
  name_t currency;
  money_t cost_cap;           /* at most MONEY_CAP_MAX */
  uint64_t expected_requests; /* in the whole shift; 0 where not given */
  backend_t *backends;
  size_t n_backends;
  traffic_share_t *shares;
  size_t n_shares;
  price_t *prices;
  size_t n_prices;
} sheet_t;

#endif
