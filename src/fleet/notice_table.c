#include "fleet/notice_table.h"

static void
remove_router (notice_table_t *table, uint32_t router)
{
  size_t n = 0;
  for (size_t i = 0; i < table->n; i++)
    if (table->items[i].router != router)
      table->items[n++] = table->items[i];
  table->n = n;
}

bool
notice_table_put (notice_table_t *table, uint32_t router,
                  const told_notice_t *notices, size_t n, usec_t now)
{
  remove_router (table, router);
  for (size_t i = 0; i < n; i++)
    {
      if (table->n == NOTICE_TABLE_MAX)
        return false;
      table->items[table->n++] = (router_notice_t){ .router = router,
                                                    .told_at = now,
                                                    .notice = notices[i] };
    }
  return true;
}

void
notice_table_expire (notice_table_t *table, usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < table->n; i++)
    if (now - table->items[i].told_at < NOTICE_LIFETIME)
      table->items[n++] = table->items[i];
  table->n = n;
}

static usec_t
earlier (size_t n_before, usec_t before, usec_t at)
{
  return n_before == 0 || at < before ? at : before;
}

notice_summary_t
notice_table_summary (const notice_table_t *table, uint64_t boot, usec_t now)
{
  notice_summary_t sum = { 0 };
  for (size_t i = 0; i < table->n; i++)
    {
      const told_notice_t *notice = &table->items[i].notice;
      if (notice->boot != boot)
        continue;
      if (notice->is_leaving)
        {
          sum.leaving_since
              = earlier (sum.n_leaving, sum.leaving_since, notice->said_at);
          sum.n_leaving++;
        }
      if (notice->rest_until > now)
        {
          sum.resting_since
              = earlier (sum.n_resting, sum.resting_since, notice->said_at);
          sum.n_resting++;
          if (notice->rest_until > sum.rest_until)
            sum.rest_until = notice->rest_until;
        }
    }
  return sum;
}
