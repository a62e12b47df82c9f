/* mulberry-entry: answers callers' look-ups and forwards their requests to
   backend servers.  */

#include <argp.h>
#include <curl/curl.h>
#include <stdlib.h>

#include "base/log.h"
#include "entry/caller_port.h"
#include "entry/current_sheet.h"
#include "entry/sheet_sync.h"
#include "entry/spend_share.h"
#include "settings/program.h"
#include "wire/metrics_page.h"
#include "wire/rpc.h"
#include "wire/rpc_metrics.h"

const char *argp_program_version = "mulberry-entry " MULBERRY_VERSION;

static const char doc[]
    = "Tells callers which entry VM to use and forwards their requests to "
      "backend servers.  On SIGTERM it takes no new requests, finishes those "
      "in progress and stops.";

typedef struct entry
{
  current_sheet_t *current_sheet;
  rpc_t *rpc;
  peer_ledger_t *peers;
  shared_quarantine_t *quarantine;
  bool heartbeats_started;
  spend_share_t *spend;
  sheet_sync_t *sheet_sync;
  caller_port_t *caller_port;
  entry_metrics_t *metrics;
  metrics_page_t *metrics_page;
} entry_t;

static bool
open_metrics (entry_t *entry, const program_t *program, err_t *err)
{
  const settings_t *settings = program->settings;
  entry->metrics = entry_metrics_new (&settings->topology, err);
  if (!entry->metrics)
    return false;
  metrics_t *registry = entry_metrics_registry (entry->metrics);
  if (!rpc_metrics_register (entry->rpc, registry, err))
    return false;
  current_sheet_set_metrics (entry->current_sheet, entry->metrics);
  const metrics_page_options_t options
      = { .address = program->vm->address,
          .port = settings->ports.entry_metrics,
          .metrics = registry,
          .ready = entry_metrics_sheet_number (entry->metrics),
          .not_ready = "no sheet is in force yet: submit one, or check the "
                       "path to the control VMs" };
  entry->metrics_page = metrics_page_start (&options, err);
  return entry->metrics_page != NULL;
}

static bool
entry_open (entry_t *entry, const program_t *program, err_t *err)
{
  const settings_t *settings = program->settings;
  entry->current_sheet = current_sheet_new ();
  const rpc_options_t rpc_options = { .address = program->vm->address,
                                      .port = settings->ports.entry_peer,
                                      .vm = program->vm_id,
                                      .incarnation = program->incarnation,
                                      .key = program->key };
  entry->rpc = rpc_open (&rpc_options, err);
  if (!entry->rpc || !open_metrics (entry, program, err))
    return false;
  const peer_ledger_options_t peer_options
      = { .settings = settings,
          .self = program->vm_id,
          .incarnation = program->incarnation,
          .key = program->key,
          .rpc = entry->rpc };
  entry->peers = peer_ledger_new (&peer_options, err);
  const shared_quarantine_options_t quarantine_options
      = { .settings = settings,
          .self = program->vm_id,
          .incarnation = program->incarnation,
          .rpc = entry->rpc };
  entry->quarantine = shared_quarantine_new (&quarantine_options, err);
  if (!entry->peers || !entry->quarantine)
    return false;
  const sheet_sync_options_t sync_options
      = { .settings = settings,
          .vm = program->vm_id,
          .rpc = entry->rpc,
          .current_sheet = entry->current_sheet };
  entry->sheet_sync = sheet_sync_open (&sync_options);
  if (!rpc_start (entry->rpc, err)
      || !sheet_sync_start (entry->sheet_sync, err))
    return false;
  entry->heartbeats_started = peer_ledger_start (entry->peers, err);
  if (!entry->heartbeats_started)
    return false;
  const spend_share_options_t spend_options
      = { .settings = settings,
          .rpc = entry->rpc,
          .self = program->vm_id,
          .generation = program->incarnation };
  entry->spend = spend_share_start (&spend_options, err);
  if (!entry->spend)
    return false;
  const caller_port_options_t port_options
      = { .settings = settings,
          .self = program->vm_id,
          .incarnation = program->incarnation,
          .current_sheet = entry->current_sheet,
          .peers = entry->peers,
          .spend = entry->spend,
          .quarantine = entry->quarantine,
          .metrics = entry->metrics };
  entry->caller_port = caller_port_open (&port_options, err);
  return entry->caller_port != NULL;
}

static void
entry_close (entry_t *entry)
{
  if (entry->caller_port)
    caller_port_close (entry->caller_port);
  if (entry->spend)
    spend_share_stop (entry->spend);
  if (entry->sheet_sync)
    sheet_sync_stop (entry->sheet_sync);
  if (entry->heartbeats_started)
    peer_ledger_stop (entry->peers);
  /* The metrics page reads the RPC layer's counters, so it stops first.  */
  if (entry->metrics_page)
    metrics_page_stop (entry->metrics_page);
  if (entry->rpc)
    rpc_close (entry->rpc);
  if (entry->caller_port)
    caller_port_free (entry->caller_port);
  if (entry->spend)
    spend_share_free (entry->spend);
  if (entry->peers)
    peer_ledger_free (entry->peers);
  if (entry->quarantine)
    shared_quarantine_free (entry->quarantine);
  if (entry->sheet_sync)
    sheet_sync_free (entry->sheet_sync);
  if (entry->current_sheet)
    current_sheet_free (entry->current_sheet);
  entry_metrics_free (entry->metrics);
}

int
main (int argc, char **argv)
{
  program_t program;
  int exit_code = 0;
  if (!program_start (&program, "mulberry-entry", doc, argc, argv, &exit_code))
    return exit_code;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  entry_t entry = { 0 };
  err_t err = { 0 };
  bool opened = entry_open (&entry, &program, &err);
  exit_code = program_serve (&program, opened, &err);
  entry_close (&entry);
  program_finish (&program);
  curl_global_cleanup ();
  return exit_code;
}
