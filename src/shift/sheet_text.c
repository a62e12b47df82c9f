#include "shift/sheet_text.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "shift/sheet.h"

static void
write_shift (const sheet_t *sheet, FILE *stream)
{
  fprintf (stream, "shift,,,number,,%" PRIu64 "\n", sheet->number);
  fprintf (stream, "shift,,,operator,,%s\n", sheet->operator_name.text);
  fprintf (stream, "shift,,,currency,,%s\n", sheet->currency.text);
  fprintf (stream, "shift,,,cost_cap,,%" PRId64 "\n", sheet->cost_cap);
  if (sheet->budget != sheet->number)
    fprintf (stream, "shift,,,budget,,%" PRIu64 "\n", sheet->budget);
  if (sheet->expected_requests > 0)
    fprintf (stream, "shift,,,expected_requests,,%" PRIu64 "\n",
             sheet->expected_requests);
}

static void
write_plan (const sheet_t *sheet, const topology_t *topology, FILE *stream)
{
  for (size_t i = 0; i < sheet->n_prices; i++)
    {
      const price_t *price = &sheet->prices[i];
      fprintf (stream, "price,%s,%s,,,%" PRId64 "\n",
               topology->services[price->service].name.text,
               topology->regions[price->region].name.text,
               price->per_thousand);
    }
  for (size_t i = 0; i < sheet->n_shares; i++)
    {
      const traffic_share_t *share = &sheet->shares[i];
      fprintf (stream, "traffic,%s,%s,,,%" PRIu32 "\n",
               topology->services[share->service].name.text,
               topology->regions[share->region].name.text, share->percent);
    }
}

static void
write_backends (const sheet_t *sheet, const topology_t *topology, FILE *stream)
{
  for (size_t i = 0; i < sheet->n_backends; i++)
    {
      const backend_t *backend = &sheet->backends[i];
      fprintf (stream, "backend,%s,%s,%s,%s:%u,%s\n",
               topology->services[backend->service].name.text,
               topology->domains[backend->domain].name.text,
               backend->name.text, backend->address, backend->port,
               sheet_state_name (backend->state));
    }
}

char *
sheet_text (const sheet_t *sheet, const topology_t *topology, size_t *length)
{
  char *text = NULL;
  FILE *stream = open_memstream (&text, length);
  if (!stream)
    return NULL;
  fputs ("record,service,place,name,address,value\n", stream);
  write_shift (sheet, stream);
  write_plan (sheet, topology, stream);
  write_backends (sheet, topology, stream);
  if (fclose (stream) == 0)
    return text;
  free (text);
  return NULL;
}
