/* spread: how a VM comes by the newest version: whom it asks, and when it may
   put a version in force.

   The entry VMs of a failure domain form a tree in the settings' order, each
   with at most SPREAD_FANOUT below it; the first one asks the control VMs in
   turn.  One that gets no answer asks further up, and at last the control
   VMs itself.

   A VM that has just started has forgotten its version.  It asks all control
   VMs and its domain, and puts nothing in force until some answer was known
   to be the newest after its start (freshness), so that it can't go back; or,
   cut off, until SPREAD_GRACE has passed, and then the highest that it could
   reach.  Pure.  */

#ifndef MEMBERSHIP_SPREAD_H
#define MEMBERSHIP_SPREAD_H

#include "base/list.h"
#include "membership/version_store.h"
#include "membership/version_table.h"

enum
{
  SPREAD_FANOUT = 4,
};

#define SPREAD_GRACE (4 * USEC_PER_SEC)
/* Reports of VMs that were not heard for so long are not passed on.  */
#define SPREAD_REPORT_AGE (10 * USEC_PER_SEC)

typedef struct spread_options
{
  const topology_t *topology; /* outlives the spread */
  vm_id_t self;
  usec_t interval; /* between two pulls */
} spread_options_t;

/* Ask VM for a version newer than VERSION.  */
typedef struct spread_pull
{
  vm_id_t vm;
  bool is_control; /* its control process, else its entry process */
  uint64_t version;
  version_report_t reports[VERSION_REPORTS_MAX];
  size_t n_reports;
} spread_pull_t;

typedef enum
{
  SPREAD_ACTION_PULL,
  SPREAD_ACTION_APPLY, /* put the store's text in force */
} spread_action_kind_t;

typedef struct spread_action
{
  list_t link;
  spread_action_kind_t kind;
  union
  {
    spread_pull_t pull;
    uint64_t apply; /* the version; the text is spread_text's */
  } body;
} spread_action_t;

typedef struct spread spread_t;

spread_t *spread_new (const spread_options_t *options, usec_t now);
void spread_free (spread_t *spread);

void spread_action_free (spread_action_t *action);

/* At least every interval / 4.  Actions are the caller's, for
   spread_action_free.  */
void spread_tick (spread_t *spread, usec_t now, list_t *actions);

/* VM's answer to a pull that was sent at SENT_AT.  */
void spread_answered (spread_t *spread, usec_t now, vm_id_t vm, usec_t sent_at,
                      const version_answer_t *answer, list_t *actions);
void spread_failed (spread_t *spread, vm_id_t vm);

/* The answer to a pull of another VM, with its REPORTS.  */
version_answer_t spread_serve (spread_t *spread, usec_t now, uint64_t version,
                               const version_report_t *reports,
                               size_t n_reports);

/* The version in force; 0 before the first.  */
uint64_t spread_version (const spread_t *spread);
const text_t *spread_text (const spread_t *spread);

/* How long ago the version in force was known to be the newest;
   FRESHNESS_UNKNOWN before the first time.  */
usec_t spread_freshness (const spread_t *spread, usec_t now);

#endif
