/* escrow_defs: the messages between the granter of a conserved budget and
   its holders, and the terms that both must share.  */

#ifndef ADMISSION_ESCROW_DEFS_H
#define ADMISSION_ESCROW_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "placement/topology_defs.h"

typedef enum
{
  BUDGET_SPEND,    /* money; consumed, never handed on once lapsed */
  BUDGET_CAPACITY, /* requests in flight in a region; a lease */
  BUDGET_RATE,     /* bytes a second on one direction of a link; a lease */
} budget_kind_t;

/* The terms of a lease.  Clocks need not agree; each may run fast or slow by
   at most DRIFT_PPM.  */
typedef struct lease_terms
{
  usec_t duration; /* by the holder's clock, from the sending of its ask */
  usec_t margin;   /* for cancelled requests to end */
  uint32_t drift_ppm;
} lease_terms_t;

/* A holder's account in one budget.  A holder that restarted or whose lease
   lapsed opens a new generation; numbers never go down.  */
typedef struct account_id
{
  vm_id_t holder;
  uint64_t generation;
} account_id_t;

/* From holder to granter.  All amounts are totals since the generation
   began, so an ask may be lost, repeated or late without harm.  */
typedef struct escrow_ask
{
  account_id_t account;
  usec_t sent_at;   /* by the holder's clock; comes back in the answer */
  int64_t wanted;   /* total that it would like to have been granted */
  int64_t returned; /* total given back */
} escrow_ask_t;

/* From granter to holder.  */
typedef struct escrow_answer
{
  account_id_t account;
  usec_t sent_at;  /* of the ask */
  int64_t granted; /* total granted to the account */
  int64_t recall;  /* unused amount that others need; 0 mostly */
  bool stale;      /* the account is closed: open a new generation */
} escrow_answer_t;

#endif
