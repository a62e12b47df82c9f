/* notice_wire: notices of notice_table in the messages between VMs.  Times
   travel as ages, because the clocks of two VMs differ.  */

#ifndef FLEET_NOTICE_WIRE_H
#define FLEET_NOTICE_WIRE_H

#include "fleet/notice_table.h"
#include "wire/generated/fleet.h"

enum
{
  NOTICES_MAX = FLEET_WIRE_NOTICES_MAX, /* of one router's report */
};

/* Encode N notices, at most NOTICES_MAX, into WIRE.  */
void notice_wire_write (const told_notice_t *notices, size_t n,
                        fleet_notice_t *wire, usec_t now);

/* Decode N entries of a message that arrived at NOW; NOTICES has room for
   NOTICES_MAX.  Those with impossible ages, with nothing said, and further
   ones of the same boot are skipped.  Returns how many there are.  */
size_t notice_wire_read (const fleet_notice_t *wire, size_t n,
                         told_notice_t notices[NOTICES_MAX], usec_t now);

#endif
