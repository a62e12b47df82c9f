/* body_budget: bounds the memory that a router uses for the bodies of requests
   and responses, while they are received, wait or are sent.

   A part of it is kept for small bodies, so that many large ones, which slow
   callers read for long, do not hold up the rest.  Used by the traffic thread
   only.  */

#ifndef ROUTER_BODY_BUDGET_H
#define ROUTER_BODY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  SMALL_BODY_BYTES = 64 * 1024,
};

/* Of bodies above SMALL_BODY_BYTES: how long they keep their memory.  */
typedef enum
{
  BODY_CERTAIN, /* until it is sent: the whole body has its memory */
  BODY_GROWING, /* its length is unknown; it may need more to be complete */
} body_kind_t;

typedef struct body_budget
{
  size_t max;          /* bytes of all bodies */
  size_t used;         /* bytes of all bodies */
  size_t large;        /* bytes of the large ones */
  size_t growing;      /* bytes of the large ones of kind BODY_GROWING */
  uint64_t n_releases; /* changes when there may be more room */
} body_budget_t;

/* Change the size of a body from BEFORE to AFTER bytes; 0: none.  Returns
   false, and changes nothing, if AFTER is greater and the budget does not
   allow it.  */
bool body_budget_resize (body_budget_t *budget, body_kind_t kind,
                         size_t before, size_t after);

/* A body of BYTES that was growing is complete.  */
void body_budget_complete (body_budget_t *budget, size_t bytes);

/* Whether room will come for large bodies, as some are complete or will be
   without more memory.  */
bool body_budget_will_free (const body_budget_t *budget);

/* Whether no new request should be taken on.  */
bool body_budget_is_full (const body_budget_t *budget);

#endif
