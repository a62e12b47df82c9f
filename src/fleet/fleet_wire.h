/* fleet_wire: records of the fleet as the calls of wire/fleet.x carry them.
   What goes out borrows the strings of the record.  */

#ifndef FLEET_FLEET_WIRE_H
#define FLEET_FLEET_WIRE_H

#include "fleet/fleet_defs.h"
#include "fleet/packed.h"
#include "wire/generated/fleet.h"

/* XDR takes strings as `char *` also where it only reads them.  */
#define FLEET_WIRE_TEXT(text) ((char *)(uintptr_t)(text))

fleet_router_t fleet_wire_router (const router_record_t *record, usec_t now);

/* False where a name is not legal.  */
bool fleet_wire_read_router (const fleet_router_t *from, usec_t now,
                             router_record_t *record);

/* LIST as a packed fleet_list_t; the caller frees its bytes.  */
packed_t fleet_wire_pack_list (const backend_list_t *list, usec_t now);

/* The list that fleet_wire_pack_list was given, sealed; entries with names
   that are not legal are left out.  False where BYTES are none.  */
bool fleet_wire_unpack_list (const char *bytes, size_t length, usec_t now,
                             backend_list_t *list);

#endif
