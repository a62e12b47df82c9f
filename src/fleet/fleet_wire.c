#include "fleet/fleet_wire.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/name.h"
#include "fleet/backend_list.h"

enum
{
  PLAIN_BYTES_MAX = 4 * 1024 * 1024, /* after decompression */
};

fleet_router_t
fleet_wire_encode_router (const router_record_t *record, usec_t now)
{
  return (fleet_router_t){ .vm = FLEET_WIRE_TEXT (record->vm.text),
                           .domain = FLEET_WIRE_TEXT (record->domain.text),
                           .region = FLEET_WIRE_TEXT (record->region.text),
                           .address = record->request_address.address,
                           .port = record->request_address.port,
                           .incarnation = record->incarnation,
                           .takes_requests = record->takes_requests,
                           .is_cut_off = record->is_cut_off,
                           .age = now - record->heard_at };
}

bool
fleet_wire_decode_router (const fleet_router_t *from, usec_t now,
                          router_record_t *record)
{
  if (from->port > UINT16_MAX || from->age > FLEET_TIME_MAX)
    return false;
  *record = (router_record_t){
    .request_address
    = { .address = from->address, .port = (uint16_t)from->port },
    .incarnation = from->incarnation,
    .takes_requests = from->takes_requests,
    .is_cut_off = from->is_cut_off,
    .heard_at = now - (from->age > 0 ? from->age : 0),
  };
  return name_parse (&record->vm, from->vm, NULL)
         && name_parse (&record->domain, from->domain, NULL)
         && name_parse (&record->region, from->region, NULL);
}

static fleet_backend_t
backend_to_wire (const backend_record_t *record)
{
  return (fleet_backend_t){
    .id = FLEET_WIRE_TEXT (record->id),
    .service = FLEET_WIRE_TEXT (record->service.text),
    .domain = FLEET_WIRE_TEXT (record->domain.text),
    .address = record->address.address,
    .port = record->address.port,
    .is_draining = record->is_draining,
    .slots = record->slots,
    .cold_left = record->cold_left,
    .started_at = record->started_unix_ms,
    .cold_mark = record->cold_mark,
  };
}

static bool
has_possible_numbers (const fleet_backend_t *wire)
{
  return wire->port <= UINT16_MAX && wire->slots <= BACKEND_SLOTS_MAX
         && wire->cold_left >= 0 && wire->cold_left <= FLEET_TIME_MAX;
}

void
fleet_wire_decode_backends (const fleet_backend_t *entries, size_t n,
                            backend_list_t *list)
{
  for (size_t i = 0; i < n; i++)
    {
      const fleet_backend_t *wire = &entries[i];
      if (!has_possible_numbers (wire))
        {
          LOG_EVENT (LOG_LEVEL_WARNING, "backend_not_understood",
                     LOG_S ("id", wire->id), LOG_U ("port", wire->port),
                     LOG_U ("slots", wire->slots),
                     LOG_I ("cold_left", wire->cold_left));
          continue;
        }
      backend_record_t record = {
        .address = { .address = wire->address, .port = (uint16_t)wire->port },
        .is_draining = wire->is_draining,
        .slots = wire->slots,
        .cold_left = wire->cold_left,
        .started_unix_ms = wire->started_at,
        .cold_mark = wire->cold_mark,
      };
      if (!name_parse (&record.service, wire->service, NULL)
          || !name_parse (&record.domain, wire->domain, NULL))
        continue;
      memcpy (record.id, wire->id, strnlen (wire->id, sizeof record.id - 1));
      backend_list_add (list, &record);
    }
}

packed_t
fleet_wire_pack (xdrproc_t filter, void *value)
{
  size_t size = xdr_sizeof (filter, value);
  char *plain = malloc (size + 1);
  if (!plain)
    abort ();
  XDR xdrs;
  xdrmem_create (&xdrs, plain, (u_int)size, XDR_ENCODE);
  if (!filter (&xdrs, value))
    abort ();
  packed_t packed = packed_compress (plain, size);
  free (plain);
  return packed;
}

bool
fleet_wire_unpack (xdrproc_t filter, void *value, const fleet_packed_t *packed)
{
  packed_t plain;
  if (!packed_decompress (packed->fleet_packed_t_val,
                          packed->fleet_packed_t_len, PLAIN_BYTES_MAX, &plain))
    return false;
  XDR xdrs;
  xdrmem_create (&xdrs, plain.bytes, (u_int)plain.length, XDR_DECODE);
  bool ok = filter (&xdrs, value);
  if (!ok)
    xdr_free (filter, value);
  free (plain.bytes);
  return ok;
}

static void *
allocate_array (size_t n, size_t size)
{
  void *array = calloc (n + 1, size);
  if (!array)
    abort ();
  return array;
}

packed_t
fleet_wire_pack_list (const backend_list_t *list)
{
  fleet_backend_t *backends
      = allocate_array (list->n_records, sizeof *backends);
  for (size_t i = 0; i < list->n_records; i++)
    backends[i] = backend_to_wire (&list->records[i]);
  fleet_list_t wire = { 0 };
  wire.backends.backends_val = backends;
  wire.backends.backends_len = (u_int)list->n_records;
  packed_t packed = fleet_wire_pack ((xdrproc_t)xdr_fleet_list_t, &wire);
  free (backends);
  return packed;
}

bool
fleet_wire_unpack_list (const fleet_packed_t *packed, usec_t read_at,
                        backend_list_t *list)
{
  fleet_list_t wire = { 0 };
  *list = (backend_list_t){ .read_at = read_at };
  if (!fleet_wire_unpack ((xdrproc_t)xdr_fleet_list_t, &wire, packed))
    return false;
  fleet_wire_decode_backends (wire.backends.backends_val,
                              wire.backends.backends_len, list);
  backend_list_finalize (list);
  xdr_free ((xdrproc_t)xdr_fleet_list_t, (char *)&wire);
  return true;
}

packed_t
fleet_wire_pack_delta (const backend_list_t *from, const backend_list_t *to)
{
  fleet_id_t *gone = allocate_array (from->n_records, sizeof *gone);
  fleet_backend_t *changed = allocate_array (to->n_records, sizeof *changed);
  fleet_delta_t delta = { .digest = to->digest, .read_at = to->read_at };
  delta.gone.gone_val = gone;
  delta.changed.changed_val = changed;
  for (size_t i = 0; i < from->n_records; i++)
    if (!backend_list_find (to, from->records[i].id))
      gone[delta.gone.gone_len++] = FLEET_WIRE_TEXT (from->records[i].id);
  for (size_t i = 0; i < to->n_records; i++)
    {
      const backend_record_t *record = &to->records[i];
      const backend_record_t *previous = backend_list_find (from, record->id);
      if (!previous || !backend_record_equal (previous, record))
        changed[delta.changed.changed_len++] = backend_to_wire (record);
    }
  packed_t packed = fleet_wire_pack ((xdrproc_t)xdr_fleet_delta_t, &delta);
  free (gone);
  free (changed);
  return packed;
}
