#include "fleet/fleet_wire.h"

#include <stdlib.h>
#include <string.h>

#include "base/name.h"
#include "fleet/backend_list.h"

enum
{
  LIST_BYTES_MAX = 4 * 1024 * 1024, /* unpacked */
};

fleet_router_t
fleet_wire_router (const router_record_t *record, usec_t now)
{
  return (fleet_router_t){ .vm = FLEET_WIRE_TEXT (record->vm.text),
                           .domain = FLEET_WIRE_TEXT (record->domain.text),
                           .region = FLEET_WIRE_TEXT (record->region.text),
                           .address = record->requests.address,
                           .port = record->requests.port,
                           .incarnation = record->incarnation,
                           .takes_requests = record->takes_requests,
                           .age = now - record->heard_at };
}

bool
fleet_wire_read_router (const fleet_router_t *from, usec_t now,
                        router_record_t *record)
{
  *record = (router_record_t){
    .requests = { .address = from->address, .port = (uint16_t)from->port },
    .incarnation = from->incarnation,
    .takes_requests = from->takes_requests,
    .heard_at = now - (from->age > 0 ? from->age : 0),
  };
  return name_parse (&record->vm, from->vm, NULL)
         && name_parse (&record->domain, from->domain, NULL)
         && name_parse (&record->region, from->region, NULL);
}

/* The backends array is malloc'd.  */
static fleet_list_t
list_to_wire (const backend_list_t *list, usec_t now)
{
  fleet_list_t wire = { .age = now - list->read_at };
  wire.backends.backends_val
      = calloc (list->n_records + 1, sizeof (fleet_backend_t));
  if (!wire.backends.backends_val)
    abort ();
  wire.backends.backends_len = (u_int)list->n_records;
  for (size_t i = 0; i < list->n_records; i++)
    {
      const backend_record_t *record = &list->records[i];
      wire.backends.backends_val[i] = (fleet_backend_t){
        .id = FLEET_WIRE_TEXT (record->id),
        .service = FLEET_WIRE_TEXT (record->service.text),
        .domain = FLEET_WIRE_TEXT (record->domain.text),
        .address = record->address.address,
        .port = record->address.port,
        .is_draining = record->is_draining,
        .slots = record->slots,
        .cold_left = record->cold_left,
        .started_at = record->started_at,
      };
    }
  return wire;
}

static void
list_from_wire (const fleet_list_t *from, usec_t now, backend_list_t *list)
{
  *list = (backend_list_t){ .read_at = now - (from->age > 0 ? from->age : 0) };
  for (u_int i = 0; i < from->backends.backends_len; i++)
    {
      const fleet_backend_t *wire = &from->backends.backends_val[i];
      backend_record_t record = {
        .address = { .address = wire->address, .port = (uint16_t)wire->port },
        .is_draining = wire->is_draining,
        .slots = wire->slots,
        .cold_left = wire->cold_left,
        .started_at = wire->started_at,
      };
      if (!name_parse (&record.service, wire->service, NULL)
          || !name_parse (&record.domain, wire->domain, NULL))
        continue;
      memcpy (record.id, wire->id, strnlen (wire->id, sizeof record.id - 1));
      backend_list_add (list, &record);
    }
  backend_list_seal (list);
}

packed_t
fleet_wire_pack_list (const backend_list_t *list, usec_t now)
{
  fleet_list_t wire = list_to_wire (list, now);
  size_t size = xdr_sizeof ((xdrproc_t)xdr_fleet_list_t, &wire);
  char *plain = malloc (size + 1);
  if (!plain)
    abort ();
  XDR xdrs;
  xdrmem_create (&xdrs, plain, (u_int)size, XDR_ENCODE);
  if (!xdr_fleet_list_t (&xdrs, &wire))
    abort ();
  packed_t packed = packed_write (plain, size);
  free (plain);
  free (wire.backends.backends_val);
  return packed;
}

bool
fleet_wire_unpack_list (const char *bytes, size_t length, usec_t now,
                        backend_list_t *list)
{
  packed_t plain;
  if (!packed_read (bytes, length, LIST_BYTES_MAX, &plain))
    return false;
  fleet_list_t wire = { 0 };
  XDR xdrs;
  xdrmem_create (&xdrs, plain.bytes, (u_int)plain.length, XDR_DECODE);
  bool ok = xdr_fleet_list_t (&xdrs, &wire);
  if (ok)
    list_from_wire (&wire, now, list);
  xdr_free ((xdrproc_t)xdr_fleet_list_t, (char *)&wire);
  free (plain.bytes);
  return ok;
}
