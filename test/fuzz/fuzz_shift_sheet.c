/* fuzz-runs: 60000 */
/* Any bytes as a sheet: accepted as a whole, or refused with faults named.  */

#include <stdlib.h>

#include "shift/sheet.h"

static region_t regions[] = { { .name = { "sapporo" }, .capacity = 48 },
                              { .name = { "hakodate" }, .capacity = 48 } };
static failure_domain_t domains[]
    = { { .name = { "sapporo-1" }, .region = 0 },
        { .name = { "hakodate-1" }, .region = 1 } };
static service_t services[] = { { .name = { "songfind" }, .slots = 3 } };
static const topology_t topology = { .regions = regions,
                                     .n_regions = 2,
                                     .domains = domains,
                                     .n_domains = 2,
                                     .services = services,
                                     .n_services = 1 };

static void
check (bool holds)
{
  if (!holds)
    abort ();
}

static void
check_sheet (const sheet_t *sheet)
{
  uint32_t percent = 0;
  for (size_t i = 0; i < sheet->n_shares; i++)
    {
      check (sheet->shares[i].service < topology.n_services);
      check (sheet->shares[i].region < topology.n_regions);
      percent += sheet->shares[i].percent;
    }
  check (percent == 100 || (percent == 0 && sheet->n_backends == 0));
  for (size_t i = 0; i < sheet->n_backends; i++)
    {
      check (sheet->backends[i].domain < topology.n_domains);
      check (sheet->backends[i].port > 0);
      check (sheet->backends[i].name.text[0] != '\0');
    }
  check (sheet->number > 0 && sheet->cost_cap >= 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  sheet_faults_t faults;
  err_t err = { 0 };
  sheet_t *sheet
      = sheet_parse ((const char *)data, size, &topology, &faults, &err);
  check ((sheet != NULL) == (faults.n_faults == 0));
  if (sheet)
    check_sheet (sheet);
  else
    check (err.kind == ERR_SHEET && err.remedy[0] != '\0');
  sheet_free (sheet);
  return 0;
}
