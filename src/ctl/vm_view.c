#include "ctl/vm_view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/download.h"

enum
{
  PAGES_PER_VM = 4, /* metrics and health of entry and of control */
  HTTP_STATUS_OK = 200,
};

static const char metrics_path[] = "/metrics";
static const char health_path[] = "/health";

static size_t
add_process_pages (page_t *pages, const char *address, uint16_t port)
{
  pages[0]
      = (page_t){ .address = address, .port = port, .path = metrics_path };
  pages[1] = (page_t){ .address = address, .port = port, .path = health_path };
  return 2;
}

/* Fill PROCESS from its two pages, /metrics and /health.  */
static void
read_process (process_view_t *process, const page_t *pages)
{
  const page_t *health = &pages[1];
  process->expected = true;
  process->metrics = metrics_new ();
  err_t err = { 0 };
  const char *text = pages[0].body.text.bytes;
  process->reached
      = pages[0].status == HTTP_STATUS_OK && health->status != 0 && text;
  if (!process->reached)
    return;
  if (!metrics_parse (process->metrics, text, &err))
    snprintf (process->problem, sizeof process->problem, "%.250s",
              err.message);
  else if (health->status != HTTP_STATUS_OK)
    snprintf (
        process->problem, sizeof process->problem, "%.*s",
        (int)strcspn (health->body.text.bytes ? health->body.text.bytes : "",
                      "\n"),
        health->body.text.bytes ? health->body.text.bytes : "");
}

static size_t
list_pages (const settings_t *settings, page_t *pages)
{
  const topology_t *topology = &settings->topology;
  size_t n = 0;
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      const vm_t *vm = &topology->vms[i];
      n += add_process_pages (&pages[n], vm->address,
                              settings->ports.entry_metrics);
      if (vm->has_control)
        n += add_process_pages (&pages[n], vm->address,
                                settings->ports.control_metrics);
    }
  return n;
}

static void
read_pages (const topology_t *topology, const page_t *pages, vm_view_t *views)
{
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      vm_view_t *view = &views[i];
      view->vm = (vm_id_t)i;
      read_process (&view->entry, pages);
      pages += 2;
      if (topology->vms[i].has_control)
        {
          read_process (&view->control, pages);
          pages += 2;
        }
      view->number_in_force
          = (uint64_t)vm_view_gauge (&view->entry, METRIC_SHEET_NUMBER);
      view->in_force_since = vm_view_gauge (&view->entry, METRIC_SHEET_SINCE);
    }
}

vm_view_t *
vm_views_fetch (const settings_t *settings)
{
  const topology_t *topology = &settings->topology;
  vm_view_t *views = calloc (topology->n_vms, sizeof *views);
  page_t *pages = calloc (topology->n_vms * PAGES_PER_VM, sizeof *pages);
  if (!views || !pages)
    abort ();
  size_t n = list_pages (settings, pages);
  pages_fetch (pages, n);
  read_pages (topology, pages, views);
  pages_free (pages, n);
  free (pages);
  return views;
}

void
vm_views_free (vm_view_t *views, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      metrics_free (views[i].entry.metrics);
      metrics_free (views[i].control.metrics);
    }
  free (views);
}

const char *
vm_view_state (const vm_view_t *view, uint64_t number)
{
  if (!view->entry.reached)
    return "unreachable";
  if (view->entry.problem[0])
    return "unwell";
  return view->number_in_force >= number ? "in-force" : "behind";
}

static json_t *
process_json (const process_view_t *process)
{
  if (!process->expected)
    return json_null ();
  return json_pack ("{s:b,s:s}", "reached", process->reached, "problem",
                    process->problem);
}

json_t *
vm_view_json (const topology_t *topology, const vm_view_t *view)
{
  const vm_t *vm = &topology->vms[view->vm];
  return json_pack (
      "{s:s,s:s,s:s,s:o,s:o,s:I,s:I}", "vm", vm->name.text, "failure_domain",
      topology->domains[vm->domain].name.text, "address", vm->address, "entry",
      process_json (&view->entry), "control", process_json (&view->control),
      "number_in_force", (json_int_t)view->number_in_force, "in_force_since",
      (json_int_t)view->in_force_since);
}

int64_t
vm_view_gauge (const process_view_t *process, const char *name)
{
  if (!process->metrics)
    return 0;
  for (const metric_t *metric = metrics_next (process->metrics, NULL); metric;
       metric = metrics_next (process->metrics, metric))
    if (metric->kind == METRIC_GAUGE && strcmp (metric->name.text, name) == 0)
      return gauge_read (&metric->value.gauge);
  return 0;
}

uint64_t
vm_view_counter (const process_view_t *process, const char *name)
{
  uint64_t sum = 0;
  if (!process->metrics)
    return 0;
  for (const metric_t *metric = metrics_next (process->metrics, NULL); metric;
       metric = metrics_next (process->metrics, metric))
    if (metric->kind == METRIC_COUNTER
        && strcmp (metric->name.text, name) == 0)
      sum += metric_count (metric);
  return sum;
}
