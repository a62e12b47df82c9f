/* quota_defs: types that routers and directors share to keep the quotas of
   client accounts over all routers together.  */

#ifndef QUOTA_QUOTA_DEFS_H
#define QUOTA_QUOTA_DEFS_H

#include <stdint.h>

#include "base/time_defs.h"

enum
{
  QUOTA_USAGES_MAX = 256, /* accounts in one report of a router */
};

/* Demand is an exponentially weighted mean with this time constant, at routers
   and directors alike, so that the routers' parts add up to one.  */
#define QUOTA_DEMAND_TIME USEC_PER_SEC

/* What a router did for an account since its last report.  */
typedef struct quota_usage
{
  uint64_t account;
  int64_t admitted; /* requests; negative where more were given back */
  uint64_t asked;   /* requests, refused ones included */
} quota_usage_t;

/* The bucket of an account over all routers, as a director knows it.  */
typedef struct quota_state
{
  uint64_t account;
  double level;  /* requests that may be admitted now; negative: debt */
  double demand; /* requests asked for, per second */
} quota_state_t;

/* A mean rate of events, per second.  Zero at first.  */
typedef struct quota_demand
{
  double rate;
  usec_t at;
} quota_demand_t;

/* The rate of DEMAND at NOW.  */
double quota_demand_at (const quota_demand_t *demand, usec_t now);
/* Count N events at NOW.  */
void quota_demand_add (quota_demand_t *demand, double n, usec_t now);

#endif
