/* load_wire: load reports in the messages between VMs.  Times travel as ages,
   because the clocks of two VMs differ.  */

#ifndef FLEET_LOAD_WIRE_H
#define FLEET_LOAD_WIRE_H

#include <stddef.h>

#include "load/load_defs.h"
#include "wire/generated/fleet.h"

enum
{
  LOADS_MAX = FLEET_WIRE_LOADS_MAX, /* in one message */
};

/* Encode N reports into WIRE.  */
void load_wire_write (const load_report_t *reports, size_t n,
                      fleet_load_t *wire, usec_t now);

/* Decode N entries of a message that was sent at SENT_AT by the local clock;
   REPORTS has room for them.  */
void load_wire_read (const fleet_load_t *wire, size_t n,
                     load_report_t *reports, usec_t sent_at);

#endif
