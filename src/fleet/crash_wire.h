/* crash_wire: reports of crash_table in the messages between VMs.  Times
   travel as ages, because the clocks of two VMs differ.  */

#ifndef FLEET_CRASH_WIRE_H
#define FLEET_CRASH_WIRE_H

#include "fleet/crash_table.h"
#include "wire/generated/fleet.h"

enum
{
  URGENT_SUSPECTS_MAX = FLEET_WIRE_SUSPECTS_MAX / 2,
};

/* Room for the reports of one message.  */
typedef struct crash_report
{
  size_t n;
  fleet_suspect_t suspects[FLEET_WIRE_SUSPECTS_MAX];
  fleet_crash_t crashes[FLEET_WIRE_SUSPECTS_MAX][FLEET_WIRE_CRASHES_MAX];
  uint64_t sequence; /* the receiver then knows TABLE's changes up to here */
} crash_report_t;

/* The age at NOW, when a message begins, of what happened at AT, in usec. What
   happened since is of age 0: receivers drop ages below that.  */
int64_t crash_wire_age (usec_t at, usec_t now);

/* Fill REPORT with the changes of TABLE after the change AFTER, as many as it
   has room for: first suspects with crashes at separate times, newest first,
   at most URGENT_SUSPECTS_MAX, because they change all the time; then all,
   oldest first, so that under steady change each is told in the end.  Only
   confirmed crashes are told.  */
void crash_wire_write (const crash_table_t *table, uint64_t after,
                       crash_report_t *report, usec_t now);

/* Merge the N SUSPECTS of a message that was sent at SENT_AT by the local
   clock.  Impossible ages are skipped.  Returns true if TABLE changed.  */
bool crash_wire_merge (crash_table_t *table, const fleet_suspect_t *suspects,
                       size_t n, usec_t sent_at, usec_t now);

#endif
