/* sheet_defs: the parsed form of an operator's sheet.  */

#ifndef SHIFT_SHEET_DEFS_H
#define SHIFT_SHEET_DEFS_H

#include <stddef.h>
#include <stdint.h>

#include "placement/topology_defs.h"

/* Money in the smallest unit of the currency (haler, yen).  */
typedef int64_t money_t;

/* A cap in thousandths of the unit must fit into money_t too.  */
#define MONEY_CAP_MAX (INT64_MAX / 4000)

typedef enum
{
  BACKEND_SERVING,
  BACKEND_JOINING,  /* takes new requests, with a slow start */
  BACKEND_LEAVING,  /* takes no new requests; running ones finish */
  BACKEND_STOPPING, /* as leaving, then the server may be stopped */
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

/* The planned share of the requests of SERVICE that REGION serves.  */
typedef struct traffic_share
{
  service_id_t service;
  region_id_t region;
  uint32_t percent;
} traffic_share_t;

/* The price of 1,000 requests of SERVICE in REGION.  The parser replaces a row
   for all services by one for each service.  */
typedef struct price
{
  service_id_t service;
  region_id_t region;
  money_t per_thousand;
} price_t;

typedef struct sheet
{
  uint64_t number; /* greater in every later sheet */
  uint64_t budget; /* sheets with the same value spend from one cap;
                      equals NUMBER where not given */
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
