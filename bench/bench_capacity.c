/* bench-capacity: how state grows with the size of the system.

     bench-capacity SETTINGS SHEET [SETTINGS SHEET ...]

   For each pair: the time and memory to read both, the sheet's bytes, and the
   look-up table for as many sites as there are VMs; then the slope between the
   smallest and the largest pair and its value at the size to design for.
   bench/capacity.sh writes the pairs, and measures whole processes.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "placement/lookup_table.h"
#include "placement/topology.h"
#include "settings/settings.h"
#include "shift/cost.h"
#include "shift/sheet.h"
#include "wire/credential.h"

enum
{
  REPEATS = 5,
  SIZES_MAX = 8,
  BLOCKS_PER_SITE = 275, /* 110,000 blocks for 400 sites */
  DESIGN_VMS = 1600,
  DESIGN_SITES = 400,
  DESIGN_BACKENDS = 4800, /* 400 sites with 12 */
};

/* What was measured at one size.  */
typedef struct size_row
{
  size_t n_vms;
  size_t n_backends;
  double settings_ms;
  size_t settings_bytes;
  size_t sheet_text_bytes;
  double sheet_ms;
  double check_ms;
  size_t sheet_bytes;
  double table_ms;
  size_t table_bytes;
} size_row_t;

static void
die (const char *what, const err_t *err)
{
  fprintf (stderr, "bench-capacity: %s: %s\n", what, err->message);
  exit (EXIT_FAILURE);
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

static double
milliseconds_since (usec_t start)
{
  return (double)(clock_monotonic () - start) / USEC_PER_MSEC;
}

static double
least (double a, double b)
{
  return a == 0 || b < a ? b : a;
}

static settings_t *
measure_settings (size_row_t *row, const char *path)
{
  settings_t *settings = NULL;
  for (int i = 0; i < REPEATS; i++)
    {
      err_t err = { 0 };
      settings_free (settings);
      size_t heap = heap_bytes ();
      usec_t start = clock_monotonic ();
      settings = settings_load (path, &err);
      if (!settings)
        die (path, &err);
      row->settings_ms = least (row->settings_ms, milliseconds_since (start));
      row->settings_bytes = heap_bytes () - heap;
    }
  row->n_vms = settings->topology.n_vms;
  return settings;
}

static char *
read_text (const char *path, size_t *length)
{
  FILE *file = fopen (path, "re");
  char *text = malloc (SHEET_BYTES_MAX + 1);
  if (!file || !text)
    exit (EXIT_FAILURE);
  *length = fread (text, 1, SHEET_BYTES_MAX + 1, file);
  fclose (file);
  return text;
}

static void
measure_sheet (size_row_t *row, const char *path, const settings_t *settings)
{
  const topology_t *topology = &settings->topology;
  char *text = read_text (path, &row->sheet_text_bytes);
  for (int i = 0; i < REPEATS; i++)
    {
      err_t err = { 0 };
      static sheet_faults_t faults;
      size_t heap = heap_bytes ();
      usec_t start = clock_monotonic ();
      sheet_t *sheet
          = sheet_parse (text, row->sheet_text_bytes, topology, &faults, &err);
      if (!sheet)
        die (path, &err);
      row->sheet_ms = least (row->sheet_ms, milliseconds_since (start));
      row->sheet_bytes = heap_bytes () - heap;
      row->n_backends = sheet->n_backends;
      start = clock_monotonic ();
      if (!cost_check (sheet, topology, NULL, &err))
        die (path, &err);
      row->check_ms = least (row->check_ms, milliseconds_since (start));
      sheet_free (sheet);
    }
  free (text);
}

static void
measure_table (size_row_t *row, const topology_t *topology)
{
  size_t n_blocks = topology->n_vms * BLOCKS_PER_SITE;
  lookup_site_t *sites = calloc (topology->n_vms, sizeof *sites);
  uint32_t *share = calloc (topology->n_regions, sizeof *share);
  region_id_t *blocks = calloc (n_blocks, sizeof *blocks);
  for (size_t i = 0; i < topology->n_vms; i++)
    sites[i] = (lookup_site_t){ .vm = (vm_id_t)i,
                                .region
                                = topology_region_of_vm (topology, (vm_id_t)i),
                                .domain = topology->vms[i].domain,
                                .weight = 1 };
  for (size_t i = 0; i < topology->n_regions; i++)
    share[i] = 1;
  for (size_t i = 0; i < n_blocks; i++)
    blocks[i] = (region_id_t)(i % topology->n_regions);
  const lookup_table_options_t options = { .sites = sites,
                                           .n_sites = topology->n_vms,
                                           .n_regions = topology->n_regions,
                                           .region_share = share,
                                           .block_region = blocks,
                                           .n_blocks = n_blocks };
  for (int i = 0; i < REPEATS; i++)
    {
      err_t err = { 0 };
      usec_t start = clock_monotonic ();
      lookup_table_t *table = lookup_table_new (&options, &err);
      if (!table)
        die ("look-up table", &err);
      row->table_ms = least (row->table_ms, milliseconds_since (start));
      row->table_bytes = lookup_table_bytes (table);
      lookup_table_free (table);
    }
  free (sites);
  free (share);
  free (blocks);
}

static void
print_row (const size_row_t *row)
{
  printf ("%6zu %9zu %9.2f %12zu %11zu %9.2f %9.2f %11zu %9.1f %11zu\n",
          row->n_vms, row->n_backends, row->settings_ms, row->settings_bytes,
          row->sheet_text_bytes, row->sheet_ms, row->check_ms,
          row->sheet_bytes, row->table_ms, row->table_bytes);
}

/* The line through (X0, Y0) and (X1, Y1), told at X.  */
static void
print_slope (const char *what, const char *unit, double x0, double y0,
             double x1, double y1, double x)
{
  double slope = (y1 - y0) / (x1 - x0);
  printf ("%-34s %12.4g a %-14s %14.6g at %.0f\n", what, slope, unit,
          y1 + slope * (x - x1), x);
}

static void
print_slopes (const size_row_t *a, const size_row_t *b)
{
  double vms0 = (double)a->n_vms;
  double vms1 = (double)b->n_vms;
  double n0 = (double)a->n_backends;
  double n1 = (double)b->n_backends;
  print_slope ("settings, ms", "VM", vms0, a->settings_ms, vms1,
               b->settings_ms, DESIGN_VMS);
  print_slope ("settings, bytes", "VM", vms0, (double)a->settings_bytes, vms1,
               (double)b->settings_bytes, DESIGN_VMS);
  print_slope ("sheet as text, bytes", "backend server", n0,
               (double)a->sheet_text_bytes, n1, (double)b->sheet_text_bytes,
               DESIGN_BACKENDS);
  print_slope ("sheet read, ms", "backend server", n0, a->sheet_ms, n1,
               b->sheet_ms, DESIGN_BACKENDS);
  print_slope ("sheet checked, ms", "backend server", n0, a->check_ms, n1,
               b->check_ms, DESIGN_BACKENDS);
  print_slope ("sheet read, bytes", "backend server", n0,
               (double)a->sheet_bytes, n1, (double)b->sheet_bytes,
               DESIGN_BACKENDS);
  print_slope ("look-up table, ms", "site", vms0, a->table_ms, vms1,
               b->table_ms, DESIGN_SITES);
  print_slope ("look-up table, bytes", "site", vms0, (double)a->table_bytes,
               vms1, (double)b->table_bytes, DESIGN_SITES);
}

static void
print_fixed (void)
{
  size_t heap = heap_bytes ();
  credentials_t none = { 0 };
  credential_verifier_t *verifier = credential_verifier_new (&none, 0);
  printf ("a latency histogram: %zu bytes; a control VM's memory of nonces: "
          "%zu bytes\n",
          sizeof (histogram_t), heap_bytes () - heap);
  credential_verifier_free (verifier);
}

int
main (int argc, char **argv)
{
  static size_row_t rows[SIZES_MAX];
  size_t n = 0;
  print_fixed ();
  if (argc < 3)
    return EXIT_SUCCESS;
  printf ("%6s %9s %9s %12s %11s %9s %9s %11s %9s %11s\n", "VMs", "backends",
          "settings", "settings", "sheet text", "read", "check", "sheet",
          "table", "table");
  printf ("%6s %9s %9s %12s %11s %9s %9s %11s %9s %11s\n", "", "", "ms",
          "bytes", "bytes", "ms", "ms", "bytes", "ms", "bytes");
  for (int i = 1; i + 1 < argc && n < SIZES_MAX; i += 2, n++)
    {
      settings_t *settings = measure_settings (&rows[n], argv[i]);
      measure_sheet (&rows[n], argv[i + 1], settings);
      measure_table (&rows[n], &settings->topology);
      print_row (&rows[n]);
      settings_free (settings);
    }
  if (n > 1)
    print_slopes (&rows[0], &rows[n - 1]);
  return EXIT_SUCCESS;
}
