/* mulberryctl vm list and metrics.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/chart.h"
#include "ctl/commands.h"
#include "ctl/download.h"
#include "ctl/vm_view.h"
#include "placement/topology.h"

static const char *
process_state (const process_view_t *process)
{
  if (!process->expected)
    return "-";
  if (!process->reached)
    return "unreachable";
  return process->problem[0] ? "unwell" : "well";
}

exit_code_t
command_vm_list (session_t *session)
{
  const topology_t *topology = &session->settings->topology;
  vm_view_t *views = vm_views_fetch (session->settings);
  json_t *json = json_array ();
  for (size_t i = 0; i < topology->n_vms; i++)
    json_array_append_new (json, vm_view_json (topology, &views[i]));
  if (session->options->output == OUTPUT_JSON)
    session_print_json (json);
  else
    printf ("%-20s %-20s %-16s %-12s %-12s %s\n", "VM", "FAILURE DOMAIN",
            "ADDRESS", "ENTRY", "CONTROL", "SHEET");
  for (size_t i = 0;
       i < topology->n_vms && session->options->output == OUTPUT_TEXT; i++)
    {
      const vm_t *vm = &topology->vms[i];
      printf ("%-20s %-20s %-16s %-12s %-12s %" PRIu64 "\n", vm->name.text,
              topology->domains[vm->domain].name.text, vm->address,
              process_state (&views[i].entry),
              process_state (&views[i].control), views[i].number_in_force);
    }
  json_decref (json);
  vm_views_free (views, topology->n_vms);
  return EXIT_OK;
}

/* Add the metrics of PROCESS to MERGED; false where the process is expected
   but was not reached, or its metrics can't be merged.  */
static bool
merge_process_metrics (metrics_t *merged, const process_view_t *process)
{
  err_t err = { 0 };
  if (!process->expected)
    return true;
  if (!process->reached)
    return false;
  char *text = metrics_render (process->metrics, NULL);
  bool is_merged = text && metrics_parse (merged, text, &err);
  free (text);
  return is_merged;
}

static bool
metric_is_selected (const metric_t *metric, const char *service)
{
  return !service
         || strcmp (metric->label[METRIC_LABEL_SERVICE].text, service) == 0;
}

static void
print_key (const metric_t *metric)
{
  fputs (metric->name.text, stdout);
  for (size_t i = 0; i < METRIC_LABELS; i++)
    if (metric->label[i].text[0])
      printf (" %s=%s", metric_label_name (i), metric->label[i].text);
}

static void
print_metric (const metric_t *metric)
{
  print_key (metric);
  switch (metric->kind)
    {
    case METRIC_COUNTER:
      printf (" %" PRIu64 "\n", metric_count (metric));
      return;
    case METRIC_GAUGE:
      printf (" %" PRId64 "\n", gauge_read (&metric->value.gauge));
      return;
    case METRIC_HISTOGRAM:
      putchar ('\n');
      chart_write (metric->value.histogram, stdout);
      return;
    }
}

static json_t *
histogram_json (const histogram_t *histogram)
{
  return json_pack (
      "{s:I,s:f,s:I,s:I,s:I,s:I}", "count",
      (json_int_t)histogram_count (histogram), "mean_usec",
      histogram_mean (histogram), "p50_usec",
      (json_int_t)histogram_quantile (histogram, 0.5), "p90_usec",
      (json_int_t)histogram_quantile (histogram, 0.9), "p99_usec",
      (json_int_t)histogram_quantile (histogram, 0.99), "p999_usec",
      (json_int_t)histogram_quantile (histogram, 0.999));
}

static json_t *
value_json (const metric_t *metric)
{
  switch (metric->kind)
    {
    case METRIC_COUNTER:
      return json_integer ((json_int_t)metric_count (metric));
    case METRIC_GAUGE:
      return json_integer (gauge_read (&metric->value.gauge));
    case METRIC_HISTOGRAM:
      return histogram_json (metric->value.histogram);
    }
  return json_null ();
}

static json_t *
metric_json (const metric_t *metric)
{
  json_t *labels = json_object ();
  for (size_t i = 0; i < METRIC_LABELS; i++)
    if (metric->label[i].text[0])
      json_object_set_new (labels, metric_label_name (i),
                           json_string (metric->label[i].text));
  return json_pack ("{s:s,s:o,s:o}", "name", metric->name.text, "labels",
                    labels, "value", value_json (metric));
}

static void
print_metrics (const session_t *session, metrics_t *merged)
{
  const options_t *options = session->options;
  json_t *json = json_array ();
  for (const metric_t *metric = metrics_next (merged, NULL); metric;
       metric = metrics_next (merged, metric))
    if (!metric_is_selected (metric, options->service))
      continue;
    else if (options->output == OUTPUT_JSON)
      json_array_append_new (json, metric_json (metric));
    else
      print_metric (metric);
  if (options->output == OUTPUT_JSON)
    session_print_json (json);
  json_decref (json);
}

exit_code_t
command_metrics (session_t *session)
{
  const topology_t *topology = &session->settings->topology;
  const char *vm_filter = session->options->vm;
  vm_view_t *views = vm_views_fetch (session->settings);
  metrics_t *merged = metrics_new ();
  size_t n_missing = 0;
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      const char *name = topology->vms[i].name.text;
      if (vm_filter && strcmp (vm_filter, name) != 0)
        continue;
      bool is_complete = merge_process_metrics (merged, &views[i].entry);
      is_complete
          = merge_process_metrics (merged, &views[i].control) && is_complete;
      if (is_complete)
        continue;
      fprintf (stderr, "mulberryctl: %s is missing in these figures\n", name);
      n_missing++;
    }
  print_metrics (session, merged);
  metrics_free (merged);
  vm_views_free (views, topology->n_vms);
  return n_missing == 0 ? EXIT_OK : EXIT_PROBLEM_FOUND;
}
