/* escrow_defs: the messages between the granter of a shared budget and its
   holders, and the lease terms that both use.  */

#ifndef ADMISSION_ESCROW_DEFS_H
#define ADMISSION_ESCROW_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "placement/topology_defs.h"

typedef enum
{
  BUDGET_SPEND,    /* money; consumed, never granted again */
  BUDGET_CAPACITY, /* requests in flight in a region; leased */
  BUDGET_RATE,     /* bytes per second in one direction of a link; leased */
} budget_kind_t;

/* The terms of a lease.  Clocks need not be synchronised; the rate of each may
   be off by at most DRIFT_PPM.  */
typedef struct lease_terms
{
  usec_t duration; /* by the holder's clock, from when it sent the ask */
  usec_t margin;   /* time for cancelled requests to end */
  uint32_t drift_ppm;
} lease_terms_t;

/* The account of one holder in one budget.  A holder that restarted or whose
   lease expired opens a new generation; generations only increase.  */
typedef struct account_id
{
  vm_id_t holder;
  uint64_t generation;
} account_id_t;

/* From the holder to the granter.  All amounts are totals since the generation
   began, so an ask may be lost, repeated or late without harm.  */
typedef struct escrow_ask
{
  account_id_t account;
  usec_t sent_at;   /* by the holder's clock; repeated in the answer */
  int64_t wanted;   /* total that the holder asks to be granted */
  int64_t returned; /* total returned */
} escrow_ask_t;

/* From the granter to the holder.  */
typedef struct escrow_answer
{
  account_id_t account;
  usec_t sent_at;  /* copied from the ask */
  int64_t granted; /* total granted to the account */
  int64_t recall;  /* amount to return where unused, for other holders
                      whose recent asks were not met in full; usually 0 */
  bool stale;      /* the account is closed; the holder opens a new
                      generation */
} escrow_answer_t;

#endif
