/* fleet_wire: conversion between the fleet's records and the XDR types of
   wire/fleet.x.  Encoded values borrow the strings of the record that they
   were made from.  */

#ifndef FLEET_FLEET_WIRE_H
#define FLEET_FLEET_WIRE_H

#include "fleet/fleet_defs.h"
#include "fleet/packed.h"
#include "wire/generated/fleet.h"

/* The generated XDR structs hold `char *` also where the string is only
   read.  */
#define FLEET_WIRE_TEXT(text) ((char *)(uintptr_t)(text))

/* Encode RECORD; its last report is sent as an age relative to NOW.  */
fleet_router_t fleet_wire_encode_router (const router_record_t *record,
                                         usec_t now);

/* Decode FROM into *RECORD.  Returns false if the name of the VM, the failure
   domain or the region is invalid, or a number out of range.  */
bool fleet_wire_decode_router (const fleet_router_t *from, usec_t now,
                               router_record_t *record);

/* Encode VALUE with FILTER and compress the result.  The caller frees the
   bytes.  */
packed_t fleet_wire_pack (xdrproc_t filter, void *value);

/* Decompress PACKED and decode it with FILTER into VALUE, which the caller
   releases with xdr_free.  Returns false if PACKED is not the output of
   fleet_wire_pack with FILTER; VALUE then holds nothing and must not be
   read.  */
bool fleet_wire_unpack (xdrproc_t filter, void *value,
                        const fleet_packed_t *packed);

/* LIST as a packed fleet_list_t.  The caller frees the bytes.  */
packed_t fleet_wire_pack_list (const backend_list_t *list);

/* Decode the output of fleet_wire_pack_list into *LIST, which is finalized and
   gets READ_AT as its time of reading.  Entries with invalid names or
   numbers are skipped.  Returns false if PACKED can't be decoded; *LIST is
   empty then.  */
bool fleet_wire_unpack_list (const fleet_packed_t *packed, usec_t read_at,
                             backend_list_t *list);

/* The difference between two finalized lists as a packed fleet_delta_t.  The
   caller frees the bytes.  */
packed_t fleet_wire_pack_delta (const backend_list_t *from,
                                const backend_list_t *to);

/* Decode N entries and append them to LIST.  Entries with invalid names or
   numbers are skipped.  */
void fleet_wire_decode_backends (const fleet_backend_t *entries, size_t n,
                                 backend_list_t *list);

#endif
