/* fleet_wire: records of the fleet as the calls of wire/fleet.x carry them.
   What goes out borrows the strings of the record.  */

#ifndef FLEET_FLEET_WIRE_H
#define FLEET_FLEET_WIRE_H

#include "fleet/fleet_defs.h"
#include "fleet/packed.h"
#include "wire/generated/fleet.h"

/* XDR takes strings as `char *` also where it only reads them.  */
#define FLEET_WIRE_TEXT(text) ((char *)(uintptr_t)(text))

fleet_router_t fleet_wire_encode_router (const router_record_t *record,
                                         usec_t now);

/* False where a name is not legal.  */
bool fleet_wire_decode_router (const fleet_router_t *from, usec_t now,
                               router_record_t *record);

/* VALUE in packed form, encoded by FILTER; the caller frees its bytes.  */
packed_t fleet_wire_pack (xdrproc_t filter, void *value);

/* Read into VALUE, which xdr_free releases in any case.  False where PACKED
   is nothing that fleet_wire_pack made with FILTER.  */
bool fleet_wire_unpack (xdrproc_t filter, void *value,
                        const fleet_packed_t *packed);

/* LIST as a packed fleet_list_t; the caller frees its bytes.  */
packed_t fleet_wire_pack_list (const backend_list_t *list);

/* The list that fleet_wire_pack_list was given, read at READ_AT and sealed;
   entries with names that are not legal are left out.  False where PACKED is
   none.  */
bool fleet_wire_unpack_list (const fleet_packed_t *packed, usec_t read_at,
                             backend_list_t *list);

/* What changed between two sealed lists as a packed fleet_delta_t; the caller
   frees its bytes.  */
packed_t fleet_wire_pack_delta (const backend_list_t *from,
                                const backend_list_t *to);

/* Append N entries; those with names that are not legal are left out.  */
void fleet_wire_decode_backends (const fleet_backend_t *entries, size_t n,
                                 backend_list_t *list);

#endif
