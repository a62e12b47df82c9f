#include "router/body_budget.h"

enum
{
  /* Parts of the budget that large bodies, large bodies of requests, and all
     bodies of requests may use.  */
  LARGE_PARTS = 3,
  LARGE_REQUEST_PARTS = 2,
  REQUEST_PARTS = 3,
  ALL_PARTS = 4,
};

static size_t
large_part (size_t bytes)
{
  return bytes > SMALL_BODY_BYTES ? bytes : 0;
}

static size_t
bytes_of_parts (const body_budget_t *budget, size_t n)
{
  return budget->max / ALL_PARTS * n;
}

static bool
allows (const body_budget_t *budget, size_t before, size_t after)
{
  size_t large = budget->large - large_part (before) + large_part (after);
  return budget->used - before + after <= budget->max
         && (large_part (after) == 0
             || large <= bytes_of_parts (budget, LARGE_PARTS));
}

static bool
allows_request (const body_budget_t *budget, size_t before, size_t after)
{
  size_t large
      = budget->large_requests - large_part (before) + large_part (after);
  return budget->requests - before + after
             <= bytes_of_parts (budget, REQUEST_PARTS)
         && (large_part (after) == 0
             || large <= bytes_of_parts (budget, LARGE_REQUEST_PARTS));
}

bool
body_budget_resize (body_budget_t *budget, body_kind_t kind, size_t before,
                    size_t after)
{
  size_t large
      = large_part (after) - large_part (before); /* may wrap around */
  if (after > before
      && (!allows (budget, before, after)
          || (kind == BODY_REQUEST
              && !allows_request (budget, before, after))))
    return false;
  budget->used = budget->used - before + after;
  budget->large += large;
  switch (kind)
    {
    case BODY_REQUEST:
      budget->requests = budget->requests - before + after;
      budget->large_requests += large;
      break;
    case BODY_GROWING:
      budget->growing += large;
      break;
    case BODY_CERTAIN:
      break;
    }
  if (after < before)
    budget->n_releases++;
  return true;
}

void
body_budget_complete (body_budget_t *budget, size_t bytes)
{
  budget->growing -= large_part (bytes);
  budget->n_releases++;
}

bool
body_budget_will_free (const body_budget_t *budget)
{
  return budget->large > budget->growing + budget->large_requests;
}

bool
body_budget_is_full (const body_budget_t *budget)
{
  return budget->used + SMALL_BODY_BYTES > budget->max;
}
