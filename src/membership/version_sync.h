/* version_sync: how a VM obtains the newest version of the sheet: which VM it
   pulls from, and when it may put a version into force.

   The entry VMs of a failure domain form a tree in the order of the settings,
   in which each has at most VERSION_SYNC_FANOUT children.  A VM pulls from its
   parent; the root pulls from the control VMs in turn.  If the parent does not
   answer, the VM pulls from the next ancestor, and finally from the control
   VMs.

   A VM loses its version when it stops.  After its start it pulls from all
   control VMs and from all VMs of its failure domain, and puts nothing into
   force until an answer shows which version was the newest at some time after
   its start (freshness).  Otherwise it could return to an older version than
   it had before the restart.  If it gets no such answer within
   VERSION_SYNC_START_GRACE, it puts the highest version that it received into
   force.

   Does no input or output: the caller carries out the actions.  */

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
/* Reports of VMs that were last heard longer ago are not passed on.  */
#define VERSION_SYNC_REPORT_AGE_MAX (10 * USEC_PER_SEC)

typedef struct version_sync_options
{
  const topology_t *topology; /* must outlive the version_sync_t */
  vm_id_t self;
  usec_t pull_interval;
} version_sync_options_t;

/* Ask VM for a version newer than VERSION.  */
typedef struct version_sync_pull
{
  vm_id_t vm;
  bool is_control;  /* ask VM's control process, not its entry process */
  uint64_t version; /* 0: request the full text */
  version_report_t reports[VERSION_REPORTS_MAX];
  size_t n_reports;
} version_sync_pull_t;

typedef enum
{
  VERSION_SYNC_ACTION_PULL,
  VERSION_SYNC_ACTION_APPLY, /* put the text of version_sync_text into force */
} version_sync_action_kind_t;

typedef struct version_sync_action
{
  list_t link;
  version_sync_action_kind_t kind;
  union
  {
    version_sync_pull_t pull;
    uint64_t apply_version;
  } body;
} version_sync_action_t;

typedef struct version_sync version_sync_t;

/* The caller releases the result with version_sync_free.  */
version_sync_t *version_sync_new (const version_sync_options_t *options,
                                  usec_t now);
void version_sync_free (version_sync_t *sync);

void version_sync_action_free (version_sync_action_t *action);

/* To be called at least every pull_interval / 4.  Appends actions to ACTIONS;
   the caller releases each with version_sync_action_free.  */
void version_sync_tick (version_sync_t *sync, usec_t now, list_t *actions);

/* Handle VM's answer to a pull that was sent at SENT_AT.  ANSWER stays the
   caller's.  */
void version_sync_pull_answered (version_sync_t *sync, usec_t now, vm_id_t vm,
                                 usec_t sent_at,
                                 const version_answer_t *answer,
                                 list_t *actions);
/* Handle a pull from VM that got no answer.  */
void version_sync_pull_failed (version_sync_t *sync, vm_id_t vm);

/* Answer the pull of another VM that has VERSION, and store its REPORTS.  The
   caller releases the answer with version_answer_clear.  */
version_answer_t version_sync_serve (version_sync_t *sync, usec_t now,
                                     uint64_t version,
                                     const version_report_t *reports,
                                     size_t n_reports);

/* The version in force; 0 before the first.  */
uint64_t version_sync_version (const version_sync_t *sync);
/* The newest text received, owned by SYNC; NULL before the first.  */
const text_t *version_sync_text (const version_sync_t *sync);

/* How long ago the version in force was last known to be the newest accepted
   one; FRESHNESS_UNKNOWN before the first time.  */
usec_t version_sync_freshness (const version_sync_t *sync, usec_t now);

#endif
