/* mulberryctl shift list and status.  */

#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#include "ctl/accepted_sheet.h"
#include "ctl/commands.h"
#include "ctl/vm_view.h"
#include "shift/sheet.h"

static json_t *
plan_json (const topology_t *topology, const sheet_t *sheet)
{
  json_t *prices = json_array ();
  for (size_t i = 0; i < sheet->n_prices; i++)
    {
      const price_t *price = &sheet->prices[i];
      json_array_append_new (
          prices,
          json_pack ("{s:s,s:s,s:I}", "service",
                     topology->services[price->service].name.text, "region",
                     topology->regions[price->region].name.text,
                     "per_thousand", (json_int_t)price->per_thousand));
    }
  json_t *traffic = json_array ();
  for (size_t i = 0; i < sheet->n_shares; i++)
    {
      const traffic_share_t *share = &sheet->shares[i];
      json_array_append_new (
          traffic,
          json_pack ("{s:s,s:s,s:i}", "service",
                     topology->services[share->service].name.text, "region",
                     topology->regions[share->region].name.text, "percent",
                     (int)share->percent));
    }
  return json_pack (
      "{s:I,s:s,s:s,s:I,s:I,s:I,s:o,s:o}", "number", (json_int_t)sheet->number,
      "operator", sheet->operator_name.text, "currency", sheet->currency.text,
      "cost_cap", (json_int_t)sheet->cost_cap, "expected_requests",
      (json_int_t)sheet->expected_requests, "backends",
      (json_int_t)sheet->n_backends, "prices", prices, "traffic", traffic);
}

static void
print_plan (const topology_t *topology, const sheet_t *sheet)
{
  printf ("sheet %" PRIu64 " of operator %s\n", sheet->number,
          sheet->operator_name.text);
  printf ("cost cap %" PRId64 " %s, expected requests %" PRIu64
          ", backend servers %zu\n",
          sheet->cost_cap, sheet->currency.text, sheet->expected_requests,
          sheet->n_backends);
  printf ("%-20s %-20s %s\n", "SERVICE", "REGION", "PRICE OF 1000");
  for (size_t i = 0; i < sheet->n_prices; i++)
    printf ("%-20s %-20s %" PRId64 "\n",
            topology->services[sheet->prices[i].service].name.text,
            topology->regions[sheet->prices[i].region].name.text,
            sheet->prices[i].per_thousand);
  printf ("%-20s %-20s %s\n", "SERVICE", "REGION", "TRAFFIC %");
  for (size_t i = 0; i < sheet->n_shares; i++)
    printf ("%-20s %-20s %" PRIu32 "\n",
            topology->services[sheet->shares[i].service].name.text,
            topology->regions[sheet->shares[i].region].name.text,
            sheet->shares[i].percent);
}

exit_code_t
command_shift_list (session_t *session)
{
  const sheet_view_t view = { .to_json = plan_json, .print = print_plan };
  return accepted_sheet_show (session, &view);
}

static json_t *
status_json (const session_t *session, const vm_view_t *views, json_t *control,
             size_t n_in_force)
{
  const topology_t *topology = &session->settings->topology;
  json_t *vms = json_array ();
  for (size_t i = 0; i < topology->n_vms; i++)
    json_array_append_new (vms, vm_view_json (topology, &views[i]));
  return json_pack ("{s:O,s:b,s:I,s:I,s:o}", "control", control,
                    "in_force_everywhere", n_in_force == topology->n_vms,
                    "in_force_on", (json_int_t)n_in_force, "of",
                    (json_int_t)topology->n_vms, "vms", vms);
}

static void
print_since (int64_t since)
{
  char stamp[32] = "-";
  time_t seconds = (time_t)since;
  struct tm utc;
  if (since > 0)
    strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%SZ",
              gmtime_r (&seconds, &utc));
  printf ("%-21s ", stamp);
}

static void
print_status (const session_t *session, const vm_view_t *views,
              uint64_t number, size_t n_in_force)
{
  const topology_t *topology = &session->settings->topology;
  printf ("accepted: sheet %" PRIu64 "; in force on %zu of %zu VMs%s\n",
          number, n_in_force, topology->n_vms,
          n_in_force == topology->n_vms ? ", everywhere" : "");
  printf ("%-20s %-20s %-12s %-21s %s\n", "VM", "FAILURE DOMAIN", "IN FORCE",
          "SINCE", "STATE");
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      const vm_t *vm = &topology->vms[i];
      printf ("%-20s %-20s %-12" PRIu64 " ", vm->name.text,
              topology->domains[vm->domain].name.text,
              views[i].number_in_force);
      print_since (views[i].in_force_since);
      printf ("%s\n", vm_view_state (&views[i], number));
    }
}

exit_code_t
command_shift_status (session_t *session)
{
  err_t err = { 0 };
  json_t *control = session_get (session, "/v1/status", &err);
  if (!control)
    return session_report_error (session, &err);
  json_int_t number = 0;
  json_unpack (control, "{s:I}", "number", &number);
  const topology_t *topology = &session->settings->topology;
  vm_view_t *views = vm_views_fetch (session->settings);
  size_t n_in_force = 0;
  for (size_t i = 0; i < topology->n_vms; i++)
    n_in_force += views[i].entry.reached
                  && views[i].number_in_force >= (uint64_t)number;
  if (session->options->output == OUTPUT_JSON)
    {
      json_t *json = status_json (session, views, control, n_in_force);
      session_print_json (json);
      json_decref (json);
    }
  else
    print_status (session, views, (uint64_t)number, n_in_force);
  vm_views_free (views, topology->n_vms);
  json_decref (control);
  return n_in_force == topology->n_vms && number > 0 ? EXIT_OK
                                                     : EXIT_PROBLEM_FOUND;
}
