#include "balance/backend_notices.h"

static size_t
find_position (const backend_notices_t *notices, uint64_t boot)
{
  size_t i = 0;
  while (i < notices->n && notices->items[i].boot != boot)
    i++;
  return i;
}

const backend_notice_t *
backend_notices_find (const backend_notices_t *notices, uint64_t boot)
{
  size_t at = find_position (notices, boot);
  return at < notices->n ? &notices->items[at] : NULL;
}

static size_t
find_oldest (const backend_notices_t *notices)
{
  size_t oldest = 0;
  for (size_t i = 1; i < notices->n; i++)
    if (notices->items[i].noted_at < notices->items[oldest].noted_at)
      oldest = i;
  return oldest;
}

backend_notice_t *
backend_notices_get (backend_notices_t *notices, uint64_t boot, usec_t now)
{
  size_t at = find_position (notices, boot);
  if (at == notices->n)
    {
      if (notices->n < BACKEND_NOTICES_MAX)
        notices->n++;
      else
        at = find_oldest (notices);
      notices->items[at] = (backend_notice_t){ .boot = boot };
    }
  notices->items[at].noted_at = now;
  return &notices->items[at];
}

bool
backend_notice_is_resting (const backend_notice_t *notice, usec_t now)
{
  return now < notice->rest_until;
}

bool
backend_notice_allows (const backend_notice_t *notice, uint32_t n_in_flight,
                       usec_t now)
{
  return !backend_notice_is_resting (notice, now)
         && (!notice->is_trial || n_in_flight == 0);
}
