#include "director/core_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/backend_list.h"
#include "fleet/fleet_wire.h"

enum
{
  PEER_CALLS_MAX = 32, /* FLEET_AGREE calls in flight to one director */
};

/* --- Calls to other directors ------------------------------------------- */

void
core_peers_call (director_core_t *core, uint32_t to, rpc_request_t *request)
{
  char address[INET_TEXT_BYTES];
  inet_format_address (to, address);
  request->address = address;
  request->port = core->settings->peer_port;
  request->program = MULBERRY_FLEET;
  request->version = MULBERRY_FLEET_V1;
  request->timeout = PEER_CALL_TIMEOUT;
  rpc_send (core->options.rpc, request);
}

/* The reply to FLEET_AGREE, or its failure, on the RPC thread.  */
static void
on_message_sent (void *closure, const rpc_result_t *result)
{
  director_peer_t *peer = closure;
  (void)result;
  atomic_fetch_sub (&peer->n_calls_in_flight, 1);
}

void
core_peers_send (director_core_t *core, const message_t *message)
{
  if (message->to >= core->roster.n_slots)
    return;
  director_peer_t *peer = &core->peers[message->to];
  if (atomic_load (&peer->n_calls_in_flight) >= PEER_CALLS_MAX)
    return;
  atomic_fetch_add (&peer->n_calls_in_flight, 1);
  blob_t *bytes = message_encode (message);
  fleet_agree_args_t args = { .address = core->own_address };
  args.message.message_val = (char *)bytes->bytes;
  args.message.message_len = bytes->length;
  rpc_request_t request = { .procedure = FLEET_AGREE,
                            .encode = (xdrproc_t)xdr_fleet_agree_args_t,
                            .args = &args,
                            .done = on_message_sent,
                            .closure = peer };
  core_peers_call (core, core->roster.addresses[message->to], &request);
  blob_unref (bytes);
}

/* --- Shared state ------------------------------------------------------- */

/* Closure of one FLEET_SHARE call.  */
typedef struct share_call
{
  director_core_t *core;
  uint32_t address;          /* IPv4, of the callee */
  uint64_t crashes_sequence; /* of the crash reports that it carries */
  uint64_t colds_sent;       /* the last change of `colds` that it carries */
} share_call_t;

/* The reply to FLEET_SHARE, or its failure, on the RPC thread.  */
static void
on_share_reply (void *closure, const rpc_result_t *result)
{
  share_call_t *call = closure;
  share_reply_t answer = { 0 };
  if (result->ok
      && rpc_result_decode (result, (xdrproc_t)message_xdr_share_reply,
                            &answer))
    {
      core_item_t *item = core_item_new (ITEM_SHARE_REPLY);
      item->body.share_reply.address = call->address;
      item->body.share_reply.list_digest = answer.fixed.list_digest;
      item->body.share_reply.incarnation = answer.fixed.incarnation;
      item->body.share_reply.form = message_items_form (&answer.items);
      item->body.share_reply.crashes_sequence = call->crashes_sequence;
      item->body.share_reply.colds_sent = call->colds_sent;
      if (!core_mailbox_post (call->core, item))
        free (item);
    }
  xdr_free ((xdrproc_t)message_xdr_share_reply, (char *)&answer);
  free (call);
}

/* Encode the routers to share: all known ones on the leader, else those that
   reported to this director itself.  The caller frees the bytes.  */
static packed_t
pack_routers (const director_core_t *core, usec_t now)
{
  static fleet_router_t routers[FLEET_ROUTERS_MAX];
  fleet_routers_t wire = { 0 };
  wire.routers.routers_val = routers;
  for (size_t i = 0; i < core->router_table.n_records; i++)
    {
      const router_record_t *record = &core->router_table.records[i];
      if (record->is_direct || core->role == ROLE_LEADER)
        routers[wire.routers.routers_len++]
            = fleet_wire_encode_router (record, now);
    }
  return fleet_wire_pack ((xdrproc_t)xdr_fleet_routers_t, &wire);
}

static void
send_share (director_core_t *core, slot_t to, share_message_t *message,
            usec_t now)
{
  fleet_share_args_t *args = &message->fixed;
  fleet_packed_t deltas[LIST_DELTAS_MAX];
  args->list
      = list_source_build_update (&core->list_source, &core->backend_list,
                                  core->peers[to].list_digest, deltas, now);
  crash_report_t crashes;
  core_crashes_fill_share (core, to, args, &crashes, now);
  static quota_share_t quotas;
  core_quotas_fill_share (core, to, args, &quotas, now);
  static fleet_load_t loads[FLEET_WIRE_LOADS_MAX];
  core_loads_fill_share (core, to, args, loads, now);
  static fleet_cold_t colds[FLEET_WIRE_COLDS_MAX];
  uint64_t colds_sent = core_colds_fill_share (core, to, args, colds, now);
  share_call_t *call = calloc (1, sizeof *call);
  if (!call)
    abort ();
  *call = (share_call_t){ .core = core,
                          .address = core->roster.addresses[to],
                          .crashes_sequence = crashes.sequence,
                          .colds_sent = colds_sent };
  rpc_request_t request = { .procedure = FLEET_SHARE,
                            .encode = (xdrproc_t)message_xdr_share,
                            .args = message,
                            .done = on_share_reply,
                            .closure = call };
  core_peers_call (core, call->address, &request);
}

/* Share routers and the list of backend servers when due.  Followers share
   with the leader and the leader with all, so that the number of messages
   grows linearly with the number of directors.  While no leader is known, each
   director shares with each other.  */
static void
send_shares (director_core_t *core, usec_t now)
{
  slot_t own_slot = roster_slot (&core->roster, core->own_address);
  if (own_slot == SLOT_NONE || !core->replica || now < core->next_share_at)
    return;
  bool has_reports
      = core_quotas_are_used (core, now) || core_loads_are_told (core);
  core->next_share_at
      = now + (has_reports ? SHARE_INTERVAL_REPORTS : SHARE_INTERVAL);
  bool is_leader = core->role == ROLE_LEADER;
  packed_t routers = pack_routers (core, now);
  share_message_t message = { 0 };
  fleet_share_args_t *args = &message.fixed;
  args->address = core->own_address;
  args->slot = own_slot;
  args->routers.fleet_packed_t_val = routers.bytes;
  args->routers.fleet_packed_t_len = (u_int)routers.length;
  if (is_leader && replica_is_current (core->replica, now))
    {
      args->confirmed_index = core->applied_index;
      args->roster = core_roster_to_wire (&core->roster);
    }
  for (slot_t slot = 0; slot < (slot_t)core->roster.n_slots; slot++)
    if (slot != own_slot
        && (is_leader || core->leader_slot == SLOT_NONE
            || core->leader_slot == slot))
      send_share (core, slot, &message, now);
  free (routers.bytes);
}

static void
merge_routers (director_core_t *core, const fleet_packed_t *packed, usec_t now)
{
  fleet_routers_t wire = { 0 };
  if (!fleet_wire_unpack ((xdrproc_t)xdr_fleet_routers_t, &wire, packed))
    {
      LOG_EVENT (LOG_LEVEL_WARNING, "share_not_understood",
                 LOG_U ("bytes", packed->fleet_packed_t_len));
      return;
    }
  for (u_int i = 0; i < wire.routers.routers_len; i++)
    {
      router_record_t record;
      if (fleet_wire_decode_router (&wire.routers.routers_val[i], now,
                                    &record))
        router_table_merge (&core->router_table, &record);
    }
  xdr_free ((xdrproc_t)xdr_fleet_routers_t, (char *)&wire);
}

/* When ARGS was sent, by the local clock.  */
static usec_t
share_sent_at (director_core_t *core, const fleet_share_args_t *args,
               usec_t now)
{
  slot_t slot = roster_slot (&core->roster, args->address);
  const fleet_list_update_t *list = &args->list;
  if (slot == SLOT_NONE || list->read_at < 0 || list->age < 0
      || list->age > INT64_MAX - list->read_at)
    return now;
  usec_t sender_now = list->read_at + list->age;
  usec_t delay
      = clock_offset_delay (&core->peers[slot].clock, sender_now, now);
  if (delay >= SHARE_INTERVAL)
    LOG_EVENT (LOG_LEVEL_INFO, "share_late", LOG_U ("slot", slot),
               LOG_I ("delay_ms", delay / USEC_PER_MSEC));
  return now - delay;
}

void
core_peers_note_form (director_core_t *core, slot_t slot, uint32_t form)
{
  char address[INET_TEXT_BYTES];
  if (form == core->peers[slot].form)
    return;
  core->peers[slot].form = form;
  inet_format_address (core->roster.addresses[slot], address);
  LOG_EVENT (LOG_LEVEL_INFO, "peer_form", LOG_S ("director", address),
             LOG_U ("form", form), LOG_U ("own", MESSAGE_FORM));
}

void
core_peers_handle_share (director_core_t *core, core_item_t *item, usec_t now)
{
  const fleet_share_args_t *args = &item->body.share.fixed;
  usec_t sent_at = share_sent_at (core, args, now);
  if (args->confirmed_index > 0 && now - sent_at < SHARE_INTERVAL)
    core_roster_adopt_shared (core, &args->roster);
  if (args->slot < ROSTER_MAX
      && roster_slot (&core->roster, args->address) == args->slot
      && sent_at > core->peers[args->slot].last_heard_at)
    core->peers[args->slot].last_heard_at = sent_at;
  slot_t slot = roster_slot (&core->roster, args->address);
  if (slot != SLOT_NONE)
    core_peers_note_form (core, slot,
                          message_items_form (&item->body.share.items));
  merge_routers (core, &args->routers, sent_at);
  if (args->confirmed_index > 0 && sent_at > core->pending_confirm_at)
    {
      core->pending_confirm_index = args->confirmed_index;
      core->pending_confirm_at = sent_at;
    }
  core_pulls_apply_list_update (core, &args->list, sent_at);
  core_crashes_merge (core, args->suspects.suspects_val,
                      args->suspects.suspects_len, sent_at, now);
  core_quotas_merge_share (core, args, now);
  core_loads_merge_share (core, args, sent_at);
  core_colds_merge_share (core, args, sent_at, now);
  share_reply_t reply = { .fixed = { .list_digest = core->backend_list.digest,
                                     .incarnation = core->options.seed } };
  rpc_reply (item->call, (xdrproc_t)message_xdr_share_reply, &reply);
}

void
core_peers_tick (director_core_t *core, usec_t now)
{
  if (core->leader_slot != SLOT_NONE)
    core->leader_known_at = now;
  core_roster_tick (core, now);
  send_shares (core, now);
  core_quotas_tick (core, now);
  core_loads_tick (core, now);
  core_colds_tick (core, now);
}

/* --- RPC procedures, on the RPC thread ---------------------------------- */

static void
serve_agree (void *closure, rpc_call_t *call)
{
  director_core_t *core = closure;
  fleet_agree_args_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_fleet_agree_args_t, &args))
    return;
  core_item_t *item = core_item_new (ITEM_REPLICA_MESSAGE);
  item->body.replica_message.sender_address = args.address;
  item->body.replica_message.encoded
      = blob_new (args.message.message_val, args.message.message_len);
  xdr_free ((xdrproc_t)xdr_fleet_agree_args_t, (char *)&args);
  if (!core_mailbox_post (core, item))
    {
      blob_unref (item->body.replica_message.encoded);
      free (item);
    }
  rpc_reply_void (call);
}

/* Decode the arguments of CALL by FILTER into ARGS, which lies in ITEM, and
   post ITEM.  */
static void
enqueue_call (director_core_t *core, rpc_call_t *call, core_item_t *item,
              xdrproc_t filter, void *args)
{
  if (!rpc_call_args (call, filter, args))
    {
      free (item);
      return;
    }
  item->call = call;
  if (core_mailbox_post (core, item))
    return;
  LOG_EVENT (LOG_LEVEL_WARNING, "call_dropped",
             LOG_S ("reason", "the mailbox of the core thread is full"));
  xdr_free (filter, args);
  free (item);
  rpc_reply_void (call);
}

static void
serve_pull (void *closure, rpc_call_t *call)
{
  core_item_t *item = core_item_new (ITEM_PULL);
  enqueue_call (closure, call, item, (xdrproc_t)message_xdr_pull,
                &item->body.pull);
}

static void
serve_share (void *closure, rpc_call_t *call)
{
  core_item_t *item = core_item_new (ITEM_SHARE);
  enqueue_call (closure, call, item, (xdrproc_t)message_xdr_share,
                &item->body.share);
}

static void
serve_announce (void *closure, rpc_call_t *call)
{
  core_item_t *item = core_item_new (ITEM_ANNOUNCE);
  enqueue_call (closure, call, item, (xdrproc_t)xdr_fleet_announce_args_t,
                &item->body.announce);
}

void
core_peers_register (director_core_t *core)
{
  rpc_t *rpc = core->options.rpc;
  rpc_register (rpc, MULBERRY_FLEET, MULBERRY_FLEET_V1, FLEET_AGREE,
                serve_agree, core);
  rpc_register (rpc, MULBERRY_FLEET, MULBERRY_FLEET_V1, FLEET_PULL, serve_pull,
                core);
  rpc_register (rpc, MULBERRY_FLEET, MULBERRY_FLEET_V1, FLEET_SHARE,
                serve_share, core);
  rpc_register (rpc, MULBERRY_FLEET, MULBERRY_FLEET_V1, FLEET_ANNOUNCE,
                serve_announce, core);
}
