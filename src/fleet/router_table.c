#include "fleet/router_table.h"

#include <string.h>
#include <xxhash.h>

/* The index of the record with ADDRESS, or where it is to be inserted.  */
static size_t
find_position (const router_table_t *table, uint32_t address)
{
  size_t low = 0;
  size_t high = table->n_records;
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (table->records[middle].request_address.address < address)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* A report relayed by another director arrives with a delay that its age does
   not include, and so seems to be this much more recent than it is.  */
#define RELAY_DELAY_MAX (250 * USEC_PER_MSEC)

static bool
is_newer (const router_record_t *record, const router_record_t *known)
{
  if (record->incarnation != known->incarnation)
    return record->incarnation > known->incarnation;
  bool may_be_relayed_copy = known->is_direct && !record->is_direct;
  return record->heard_at
         > known->heard_at + (may_be_relayed_copy ? RELAY_DELAY_MAX : 0);
}

bool
router_table_merge (router_table_t *table, const router_record_t *record)
{
  size_t at = find_position (table, record->request_address.address);
  router_record_t *known = &table->records[at];
  if (at < table->n_records
      && known->request_address.address == record->request_address.address)
    {
      if (is_newer (record, known))
        *known = *record;
      return true;
    }
  if (table->n_records >= FLEET_ROUTERS_MAX)
    return false;
  memmove (known + 1, known, (table->n_records - at) * sizeof *known);
  *known = *record;
  table->n_records++;
  return true;
}

size_t
router_table_expire (router_table_t *table, usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < table->n_records; i++)
    if (now - table->records[i].heard_at < ROUTER_TIMEOUT)
      table->records[n++] = table->records[i];
  size_t dropped = table->n_records - n;
  table->n_records = n;
  return dropped;
}

uint64_t
router_table_digest (const router_table_t *table)
{
  uint64_t digest = 1;
  for (size_t i = 0; i < table->n_records; i++)
    {
      const router_record_t *record = &table->records[i];
      const uint64_t numbers[]
          = { record->request_address.address, record->request_address.port,
              record->incarnation, record->takes_requests,
              record->is_cut_off };
      digest = XXH3_64bits_withSeed (numbers, sizeof numbers, digest);
    }
  return digest | 1;
}
