/* fuzz-runs: 60000 */
/* Fuzz target: the messages of wire/fleet.x as another VM may write them, and
   what the fleet's tables and lists do with the values.  The first byte
   chooses the kind; the rest is the XDR of a message, or of what stands packed
   in one.  */

#include <string.h>

#include "../support/fuzz_input.h"
#include "base/log.h"
#include "fleet/backend_list.h"
#include "fleet/clock_offset.h"
#include "fleet/crash_wire.h"
#include "fleet/fleet_wire.h"
#include "fleet/list_update.h"
#include "fleet/message_items.h"
#include "fleet/notice_wire.h"
#include "fleet/router_table.h"

#define NOW (1000 * USEC_PER_SEC)
#define LATER (NOW + 3600 * USEC_PER_SEC)

enum
{
  PLAIN_BYTES_MAX = 64 * 1024,
  DELTAS = 2,
  FOLLOWER_BACKENDS = 3,
};

static int64_t
next_number (fuzz_input_t *input)
{
  uint64_t number = 0;
  for (size_t i = 0; i < sizeof number; i++)
    number = number << 8 | fuzz_next_byte (input);
  return (int64_t)number;
}

/* Decode the rest of INPUT into VALUE; release it with xdr_free if true.  */
static bool
decode (const fuzz_input_t *input, xdrproc_t filter, void *value)
{
  XDR xdr;
  xdrmem_create (&xdr, (char *)(uintptr_t)input->data, (u_int)input->size,
                 XDR_DECODE);
  bool ok = filter (&xdr, value);
  if (!ok)
    xdr_free (filter, value);
  return ok;
}

static void
check_list (const backend_list_t *list)
{
  require (list->n_records <= FLEET_BACKENDS_MAX, "more than there is room");
  for (size_t i = 0; i < list->n_records; i++)
    {
      const backend_record_t *record = &list->records[i];
      require (backend_list_find (list, record->id) == record,
               "the list is sorted and has each id once");
      require (record->cold_left >= 0, "cold for a time");
      require (record->slots <= BACKEND_SLOTS_MAX, "slots in range");
    }
}

/* The list of a follower.  */
static backend_list_t
follower_list (void)
{
  backend_list_t list = { .read_at = NOW - USEC_PER_SEC };
  for (int i = 0; i < FOLLOWER_BACKENDS; i++)
    {
      backend_record_t record = { .id = "a",
                                  .service = { "search" },
                                  .domain = { "north-a" },
                                  .cold_left = i * USEC_PER_SEC };
      record.id[0] = (char)('a' + i);
      backend_list_add (&list, &record);
    }
  backend_list_finalize (&list);
  return list;
}

static void
apply_update (const fleet_list_update_t *update)
{
  backend_list_t list = follower_list ();
  uint64_t digest = list.digest;
  list_update_result_t result = list_update_apply (update, NOW, &list);
  check_list (&list);
  if (result != LIST_UPDATE_APPLIED)
    require (list.digest == digest, "the list stays as it was");
  list_update_advance_time (&list, LATER);
  check_list (&list);
  backend_list_clear (&list);
}

static void
check_update (fuzz_input_t *input)
{
  fleet_list_update_t update = { 0 };
  if (!decode (input, (xdrproc_t)xdr_fleet_list_update_t, &update))
    return;
  apply_update (&update);
  xdr_free ((xdrproc_t)xdr_fleet_list_update_t, (char *)&update);
}

/* INPUT's bytes, packed, as the whole list or as a delta.  */
static void
check_packed_update (fuzz_input_t *input, bool is_whole)
{
  fleet_list_update_t update = { .digest = (uint64_t)next_number (input),
                                 .read_at = next_number (input),
                                 .age = next_number (input) };
  packed_t packed = packed_compress (input->data, input->size);
  fleet_packed_t wire = { .fleet_packed_t_val = packed.bytes,
                          .fleet_packed_t_len = (u_int)packed.length };
  fleet_packed_t deltas[DELTAS] = { wire, wire };
  if (is_whole)
    update.whole = wire;
  update.deltas.deltas_val = deltas;
  update.deltas.deltas_len = is_whole ? 0 : DELTAS;
  apply_update (&update);
  free (packed.bytes);
}

/* A delta that fits the follower's list, whose records and times the input
   gives.  */
static void
check_fitting_delta (fuzz_input_t *input)
{
  backend_list_t from = follower_list ();
  backend_list_t to;
  backend_list_copy (&to, &from);
  to.read_at = next_number (input);
  to.records[0].cold_left = next_number (input);
  to.records[1].slots = (uint32_t)next_number (input);
  backend_list_finalize (&to);
  packed_t packed = fleet_wire_pack_delta (&from, &to);
  fleet_packed_t delta = { .fleet_packed_t_val = packed.bytes,
                           .fleet_packed_t_len = (u_int)packed.length };
  fleet_list_update_t update = { .digest = to.digest,
                                 .read_at = next_number (input),
                                 .age = next_number (input) };
  update.deltas.deltas_val = &delta;
  update.deltas.deltas_len = 1;
  apply_update (&update);
  free (packed.bytes);
  backend_list_clear (&from);
  backend_list_clear (&to);
}

static void
merge_router (const fleet_router_t *wire, router_table_t *table)
{
  router_record_t record;
  if (!fleet_wire_decode_router (wire, NOW, &record))
    return;
  record.is_direct = wire->takes_requests;
  router_table_merge (table, &record);
}

static void
check_routers (fuzz_input_t *input)
{
  static router_table_t table;
  fleet_routers_t wire = { 0 };
  packed_t packed = packed_compress (input->data, input->size);
  const fleet_packed_t value = { .fleet_packed_t_val = packed.bytes,
                                 .fleet_packed_t_len = (u_int)packed.length };
  table.n_records = 0;
  if (fleet_wire_unpack ((xdrproc_t)xdr_fleet_routers_t, &wire, &value))
    {
      for (u_int i = 0; i < wire.routers.routers_len; i++)
        merge_router (&wire.routers.routers_val[i], &table);
      for (size_t i = 1; i < table.n_records; i++)
        require (table.records[i - 1].request_address.address
                     < table.records[i].request_address.address,
                 "the table is sorted");
      require (router_table_digest (&table) != 0, "a digest");
      router_table_expire (&table, LATER);
      require (table.n_records == 0, "all expire");
      xdr_free ((xdrproc_t)xdr_fleet_routers_t, (char *)&wire);
    }
  free (packed.bytes);
}

static void
merge_suspects (const fleet_suspect_t *suspects, size_t n)
{
  static crash_table_t table;
  static crash_report_t report;
  fingerprint_t quarantined[QUARANTINED_MAX];
  table = (crash_table_t){ 0 };
  crash_wire_merge (&table, suspects, n, NOW - USEC_PER_SEC, NOW);
  require (table.n_suspects <= SUSPECTS_MAX, "suspects");
  require (crash_table_quarantined (&table, quarantined) <= QUARANTINED_MAX,
           "quarantined");
  crash_wire_write (&table, 0, &report, NOW);
  crash_table_expire (&table, LATER);
  require (table.n_suspects == 0, "all are forgotten");
}

static void
put_notices (const fleet_notice_t *wire, size_t n)
{
  static notice_table_t table;
  told_notice_t notices[NOTICES_MAX];
  size_t n_read = notice_wire_read (wire, n, notices, NOW);
  table.n = 0;
  notice_table_put (&table, 1, notices, n_read, NOW);
  for (size_t i = 0; i < n_read; i++)
    {
      notice_summary_t sum
          = notice_table_summary (&table, notices[i].boot, NOW);
      require (sum.n_leaving <= 1 && sum.n_resting <= 1, "one router");
      require (sum.n_leaving + sum.n_resting > 0, "something said");
    }
  notice_table_expire (&table, LATER);
  require (table.n == 0, "all expire");
}

static void
check_pull (fuzz_input_t *input)
{
  static router_table_t table;
  pull_message_t message = { 0 };
  const fleet_pull_args_t *args = &message.fixed;
  if (!decode (input, (xdrproc_t)message_xdr_pull, &message))
    return;
  table.n_records = 0;
  merge_router (&args->router, &table);
  merge_suspects (args->suspects.suspects_val, args->suspects.suspects_len);
  put_notices (args->notices.notices_val, args->notices.notices_len);
  message_items_form (&message.items);
  xdr_free ((xdrproc_t)message_xdr_pull, (char *)&message);
}

static void
check_share (fuzz_input_t *input)
{
  fleet_share_args_t args = { 0 };
  if (!decode (input, (xdrproc_t)xdr_fleet_share_args_t, &args))
    return;
  require (args.roster.addresses.addresses_len <= FLEET_DIRECTORS_MAX,
           "directors");
  apply_update (&args.list);
  merge_suspects (args.suspects.suspects_val, args.suspects.suspects_len);
  xdr_free ((xdrproc_t)xdr_fleet_share_args_t, (char *)&args);
}

/* Bytes that claim to be a packed block.  */
static void
check_block (const fuzz_input_t *input)
{
  packed_t plain;
  if (!packed_decompress (input->data, input->size, PLAIN_BYTES_MAX, &plain))
    return;
  require (plain.length <= PLAIN_BYTES_MAX, "not longer than the limit");
  free (plain.bytes);
}

static void
check_clock (fuzz_input_t *input)
{
  clock_offset_t offset = { 0 };
  for (usec_t now = NOW; input->size > 0; now += USEC_PER_SEC)
    {
      int64_t sent_at = next_number (input) & INT64_MAX;
      require (clock_offset_delay (&offset, sent_at, now) >= 0,
               "no negative delay");
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  enum
  {
    KINDS = 9,
  };
  static bool is_ready;
  if (!is_ready)
    log_open ("fuzz", "fuzz", LOG_LEVEL_ERROR);
  is_ready = true;
  fuzz_input_t input = { .data = data, .size = size };
  switch (fuzz_next_byte (&input) % KINDS)
    {
    case 0:
      check_pull (&input);
      break;
    case 1:
      check_share (&input);
      break;
    case 2:
      check_update (&input);
      break;
    case 3:
      check_packed_update (&input, true);
      break;
    case 4:
      check_packed_update (&input, false);
      break;
    case 5:
      check_fitting_delta (&input);
      break;
    case 6:
      check_routers (&input);
      break;
    case 7:
      check_block (&input);
      break;
    default:
      check_clock (&input);
      break;
    }
  return 0;
}
