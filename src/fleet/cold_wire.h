/* cold_wire: reports of cold backend servers in the messages between VMs.
   Times travel as what is left of them, because the clocks of two VMs
   differ.  */

#ifndef FLEET_COLD_WIRE_H
#define FLEET_COLD_WIRE_H

#include "fleet/cold_table.h"
#include "wire/generated/fleet.h"

enum
{
  COLDS_MAX = FLEET_WIRE_COLDS_MAX, /* in one message */
};

/* A message that says more is read as this: no cold start takes longer.  */
#define COLD_LEFT_MAX (600 * USEC_PER_SEC)

/* Encode N reports into WIRE.  */
void cold_wire_write (const cold_report_t *reports, size_t n,
                      fleet_cold_t *wire, usec_t now);

/* Decode N entries of a message that was sent at SENT_AT by the local clock;
   REPORTS has room for them.  */
void cold_wire_read (const fleet_cold_t *wire, size_t n,
                     cold_report_t *reports, usec_t sent_at);

#endif
