#include "router/body_budget.h"

enum
{
  /* Parts of the budget that large bodies may use.  */
  LARGE_PARTS = 3,
  ALL_PARTS = 4,
};

static size_t
large_part (size_t bytes)
{
  return bytes > SMALL_BODY_BYTES ? bytes : 0;
}

static bool
allows (const body_budget_t *budget, size_t before, size_t after)
{
  size_t large = budget->large - large_part (before) + large_part (after);
  size_t large_max = budget->max / ALL_PARTS * LARGE_PARTS;
  return budget->used - before + after <= budget->max
         && (large_part (after) == 0 || large <= large_max);
}

bool
body_budget_resize (body_budget_t *budget, body_kind_t kind, size_t before,
                    size_t after)
{
  if (after > before && !allows (budget, before, after))
    return false;
  budget->used = budget->used - before + after;
  budget->large = budget->large - large_part (before) + large_part (after);
  if (kind == BODY_GROWING)
    budget->growing
        = budget->growing - large_part (before) + large_part (after);
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
  return budget->large > budget->growing;
}

bool
body_budget_is_full (const body_budget_t *budget)
{
  return budget->used + SMALL_BODY_BYTES > budget->max;
}
