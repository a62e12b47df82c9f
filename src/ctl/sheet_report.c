#include "ctl/sheet_report.h"

#include <inttypes.h>
#include <stdio.h>

#include "shift/cost.h"

/* The COST of SHEET as JSON, by region and link.  */
static json_t *
cost_json (const topology_t *topology, const sheet_t *sheet,
           const cost_t *cost)
{
  json_t *regions = json_array ();
  for (size_t i = 0; i < topology->n_regions; i++)
    json_array_append_new (
        regions,
        json_pack ("{s:s,s:I,s:I}", "region", topology->regions[i].name.text,
                   "expected", (json_int_t)cost->regions[i].expected, "worst",
                   (json_int_t)cost->regions[i].worst));
  json_t *links = json_array ();
  for (size_t i = 0; i < topology->n_links; i++)
    {
      const link_t *link = &topology->links[i];
      json_array_append_new (
          links,
          json_pack ("{s:s,s:s,s:o,s:I}", "from",
                     topology->regions[link->from].name.text, "to",
                     topology->regions[link->to].name.text, "bytes_per_second",
                     cost->link_bytes[i] > 0 ? json_real (cost->link_bytes[i])
                                             : json_null (),
                     "capacity", (json_int_t)link->bytes_per_second));
    }
  return json_pack (
      "{s:s,s:I,s:I,s:I,s:I,s:o,s:o}", "currency", sheet->currency.text, "cap",
      (json_int_t)sheet->cost_cap, "expected", (json_int_t)cost->expected,
      "worst", (json_int_t)cost->worst, "worst_request",
      (json_int_t)cost->worst_request, "regions", regions, "links", links);
}

/* The traffic on links depends on the regions that requests come from, which a
   sheet does not state: without a measured load only the capacities of the
   links are known.  */
static void
print_links (const topology_t *topology, const cost_t *cost)
{
  printf ("%-28s %14s %14s\n", "LINK", "PLANNED B/s", "CAPACITY B/s");
  for (size_t i = 0; i < topology->n_links; i++)
    {
      const link_t *link = &topology->links[i];
      char planned[32] = "no load known";
      if (cost->link_bytes[i] > 0)
        snprintf (planned, sizeof planned, "%.0f", cost->link_bytes[i]);
      printf ("%-13s %-14s %14s %14" PRIu64 "\n",
              topology->regions[link->from].name.text,
              topology->regions[link->to].name.text, planned,
              link->bytes_per_second);
    }
}

static void
print_cost (const topology_t *topology, const sheet_t *sheet,
            const cost_t *cost)
{
  printf ("sheet %" PRIu64 " of operator %s, in %s, %" PRIu64
          " expected requests\n",
          sheet->number, sheet->operator_name.text, sheet->currency.text,
          sheet->expected_requests);
  printf ("%-28s %14s %14s\n", "REGION", "EXPECTED", "WORST");
  for (size_t i = 0; i < topology->n_regions; i++)
    printf ("%-28s %14" PRId64 " %14" PRId64 "\n",
            topology->regions[i].name.text, cost->regions[i].expected,
            cost->regions[i].worst);
  printf ("%-28s %14" PRId64 " %14" PRId64 "\n", "whole shift", cost->expected,
          cost->worst);
  printf ("%-28s %14" PRId64 "%s\n", "cap", sheet->cost_cap,
          cost->worst > sheet->cost_cap
              ? "  (the worst case is limited to the cap)"
              : "");
  print_links (topology, cost);
}

exit_code_t
sheet_report (const session_t *session, const sheet_t *sheet)
{
  const topology_t *topology = &session->settings->topology;
  err_t err = { 0 };
  cost_t cost = { 0 };
  bool is_acceptable = cost_of_sheet (&cost, sheet, topology, NULL, &err);
  if (is_acceptable && session->options->output == OUTPUT_TEXT)
    print_cost (topology, sheet, &cost);
  json_t *json
      = is_acceptable ? cost_json (topology, sheet, &cost) : json_null ();
  is_acceptable = is_acceptable && cost_check (sheet, topology, NULL, &err);
  cost_free (&cost);
  if (session->options->output == OUTPUT_JSON)
    {
      json_t *report
          = json_pack ("{s:b,s:I,s:O,s:s,s:s}", "good", is_acceptable,
                       "number", (json_int_t)sheet->number, "cost", json,
                       "problem", err.message, "remedy", err.remedy);
      session_print_json (report);
      json_decref (report);
    }
  json_decref (json);
  if (is_acceptable)
    return EXIT_OK;
  if (session->options->output == OUTPUT_TEXT)
    session_report_error (session, &err);
  return EXIT_REFUSED;
}

/* The number of faults that are stored; n_faults counts all.  */
static size_t
n_listed (const sheet_faults_t *faults)
{
  return faults->n_faults < SHEET_FAULTS_MAX ? faults->n_faults
                                             : SHEET_FAULTS_MAX;
}

static json_t *
faults_json (const sheet_faults_t *faults)
{
  json_t *json = json_array ();
  for (size_t i = 0; i < n_listed (faults); i++)
    {
      const sheet_fault_t *fault = &faults->fault[i];
      json_array_append_new (
          json, json_pack ("{s:I,s:s,s:s,s:s}", "row", (json_int_t)fault->row,
                           "column", fault->column, "message", fault->message,
                           "remedy", fault->remedy));
    }
  return json;
}

exit_code_t
sheet_report_faults (const session_t *session, const sheet_faults_t *faults,
                     const err_t *err)
{
  if (session->options->output == OUTPUT_JSON)
    {
      json_t *json = json_pack ("{s:b,s:I,s:o}", "good", 0, "n_faults",
                                (json_int_t)faults->n_faults, "faults",
                                faults_json (faults));
      session_print_json (json);
      json_decref (json);
      return EXIT_REFUSED;
    }
  for (size_t i = 0; i < n_listed (faults); i++)
    {
      const sheet_fault_t *fault = &faults->fault[i];
      fprintf (stderr, "row %zu, column %s: %s; remedy: %s\n", fault->row,
               fault->column, fault->message, fault->remedy);
    }
  return session_report_error (session, err);
}
