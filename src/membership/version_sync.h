/* spread: how a VM comes by the newest version: whom it asks, and when it may
   put a version in force.

   The entry VMs of a failure domain form a tree in the settings' order, each
   with at most VERSION_SYNC_FANOUT below it; the first one asks the control
   VMs in turn.  One that gets no answer asks further up, and at last the
   control VMs itself.

   A VM that has just started has forgotten its version.  It asks all control
   VMs and its domain, and puts nothing in force until some answer was known
   to be the newest after its start (freshness), so that it can't go back; or,
   cut off, until VERSION_SYNC_START_GRACE has passed, and then the highest
   that it could reach.  Pure.  */

#ifndef MEMBERSHIP_VERSION_SYNC_H
#define MEMBERSHIP_VERSION_SYNC_H

#include "base/list.h"
#include "membership/version_store.h"
#include "membership/version_table.h"

enum
{
  VERSION_SYNC_FANOUT = 4,
};

#define VERSION_SYNC_START_GRACE (4 * USEC_PER_SEC)
/* Reports of VMs that were not heard for so long are not passed on.  */
#define VERSION_SYNC_REPORT_AGE_MAX (10 * USEC_PER_SEC)

typedef struct version_sync_options
{
  const topology_t *topology; /* outlives the spread */
  vm_id_t self;
  usec_t pull_interval; /* between two pulls */
} version_sync_options_t;

/* Ask VM for a version newer than VERSION.  */
typedef struct version_sync_pull
{
  vm_id_t vm;
  bool is_control; /* its control process, else its entry process */
  uint64_t version;
  version_report_t reports[VERSION_REPORTS_MAX];
  size_t n_reports;
} version_sync_pull_t;

typedef enum
{
  VERSION_SYNC_ACTION_PULL,
  VERSION_SYNC_ACTION_APPLY, /* put the store's text in force */
} version_sync_action_kind_t;

typedef struct version_sync_action
{
  list_t link;
  version_sync_action_kind_t kind;
  union
  {
    version_sync_pull_t pull;
    uint64_t apply_version; /* the version; the text is version_sync_text's */
  } body;
} version_sync_action_t;

typedef struct spread version_sync_t;

version_sync_t *version_sync_new (const version_sync_options_t *options,
                                  usec_t now);
void version_sync_free (version_sync_t *spread);

void version_sync_action_free (version_sync_action_t *action);

/* At least every interval / 4.  Actions are the caller's, for
   version_sync_action_free.  */
void version_sync_tick (version_sync_t *spread, usec_t now, list_t *actions);

/* VM's answer to a pull that was sent at SENT_AT.  */
void version_sync_pull_answered (version_sync_t *spread, usec_t now,
                                 vm_id_t vm, usec_t sent_at,
                                 const version_answer_t *answer,
                                 list_t *actions);
void version_sync_pull_failed (version_sync_t *spread, vm_id_t vm);

/* The answer to a pull of another VM, with its REPORTS.  */
version_answer_t version_sync_serve (version_sync_t *spread, usec_t now,
                                     uint64_t version,
                                     const version_report_t *reports,
                                     size_t n_reports);

/* The version in force; 0 before the first.  */
uint64_t version_sync_version (const version_sync_t *spread);
const text_t *version_sync_text (const version_sync_t *spread);

/* How long ago the version in force was known to be the newest;
   FRESHNESS_UNKNOWN before the first time.  */
usec_t version_sync_freshness (const version_sync_t *spread, usec_t now);

#endif
