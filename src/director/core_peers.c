#include "director/core_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "director/roster_file.h"
#include "fleet/backend_list.h"
#include "fleet/fleet_wire.h"

enum
{
  PEER_CALLS_MAX = 32, /* messages under way to one director */
};

/* --- Calls to other directors ------------------------------------------- */

static void
call_director (director_core_t *core, uint32_t to, rpc_request_t *request)
{
  char address[INET_TEXT_BYTES];
  inet_format_address (to, address);
  request->address = address;
  request->port = core->settings->peer_port;
  request->program = MULBERRY_FLEET;
  request->version = MULBERRY_FLEET_V1;
  request->timeout = PEER_TIMEOUT;
  rpc_send (core->options.rpc, request);
}

static void
on_sent (void *closure, const rpc_result_t *result)
{
  director_peer_t *peer = closure;
  (void)result;
  atomic_fetch_sub (&peer->n_calls, 1);
}

void
core_peers_send (director_core_t *core, const message_t *message)
{
  if (message->to >= core->roster.n_slots)
    return;
  director_peer_t *peer = &core->peers[message->to];
  if (atomic_load (&peer->n_calls) >= PEER_CALLS_MAX)
    return;
  atomic_fetch_add (&peer->n_calls, 1);
  blob_t *bytes = message_encode (message);
  fleet_agree_args_t args = { .address = core->self };
  args.message.message_val = (char *)bytes->bytes;
  args.message.message_len = bytes->length;
  rpc_request_t request = { .procedure = FLEET_AGREE,
                            .encode = (xdrproc_t)xdr_fleet_agree_args_t,
                            .args = &args,
                            .done = on_sent,
                            .closure = peer };
  call_director (core, core->roster.addresses[message->to], &request);
  blob_unref (bytes);
}

/* --- The roster --------------------------------------------------------- */

void
core_peers_adopt (director_core_t *core, const roster_t *roster)
{
  err_t err = { 0 };
  core->roster = *roster;
  if (!roster_file_save (core->settings->data_folder, roster, &err))
    log_error (LOG_LEVEL_ERROR, "roster_not_saved", &err);
  LOG_EVENT (LOG_LEVEL_INFO, "roster_adopted",
             LOG_U ("slots", roster->n_slots),
             LOG_U ("slot", roster_slot (roster, core->self)));
  core_replica_open (core);
}

static roster_t
roster_read (const fleet_roster_t *wire)
{
  roster_t roster = { .n_slots = wire->addresses.addresses_len };
  for (size_t i = 0; i < roster.n_slots; i++)
    roster.addresses[i] = wire->addresses.addresses_val[i];
  return roster;
}

static fleet_roster_t
roster_wire (roster_t *roster)
{
  fleet_roster_t wire = { 0 };
  wire.addresses.addresses_val = roster->addresses;
  wire.addresses.addresses_len = (u_int)roster->n_slots;
  return wire;
}

/* The answer to our announcement, on the RPC thread.  */
static void
on_announced (void *closure, const rpc_result_t *result)
{
  director_core_t *core = closure;
  item_t *item = core_item (ITEM_ROSTER);
  if (result->ok
      && rpc_result_decode (result, (xdrproc_t)xdr_fleet_announce_result_t,
                            &item->body.roster)
      && core_post (core, item))
    return;
  xdr_free ((xdrproc_t)xdr_fleet_announce_result_t,
            (char *)&item->body.roster);
  free (item);
}

static void
announce_to (director_core_t *core, uint32_t address)
{
  fleet_announce_args_t args = { .address = core->self,
                                 .is_first = core->settings->first_start,
                                 .roster = roster_wire (&core->roster) };
  rpc_request_t request = { .procedure = FLEET_ANNOUNCE,
                            .encode = (xdrproc_t)xdr_fleet_announce_args_t,
                            .args = &args,
                            .done = on_announced,
                            .closure = core };
  if (address != core->self)
    call_director (core, address, &request);
}

/* A director without a slot asks for one; one that is new in its slot makes
   sure that the leader knows.  */
static void
announce (director_core_t *core, usec_t now)
{
  bool has_slot = roster_slot (&core->roster, core->self) != SLOT_NONE;
  bool is_settled
      = has_slot && core->role != ROLE_BLANK && core->role != ROLE_LEARNER;
  if (is_settled || now < core->announce_at)
    return;
  core->announce_at = now + ANNOUNCE_INTERVAL;
  const fleet_settings_t *settings = core->settings;
  for (size_t i = 0; i < settings->n_seeds; i++)
    if (roster_slot (&core->roster, settings->seeds[i].address) == SLOT_NONE)
      announce_to (core, settings->seeds[i].address);
  for (size_t i = 0; i < core->roster.n_slots; i++)
    announce_to (core, core->roster.addresses[i]);
}

/* Only the leader gives slots away, so that no two directors get the same one;
   the others learn of it with what the leader shares.  */
static void
give_slot (director_core_t *core, uint32_t address, const roster_t *claimed,
           usec_t now)
{
  if (core->role != ROLE_LEADER || !replica_is_current (core->replica, now)
      || roster_slot (&core->roster, address) != SLOT_NONE)
    return;
  usec_t silence[ROSTER_MAX] = { 0 };
  for (size_t i = 0; i < core->roster.n_slots; i++)
    if (core->roster.addresses[i] != core->self)
      silence[i] = now - core->peers[i].heard_at;
  slot_t slot = roster_free_slot (&core->roster, silence,
                                  roster_slot (claimed, address));
  if (slot == SLOT_NONE)
    return;
  char text[INET_TEXT_BYTES];
  inet_format_address (address, text);
  LOG_EVENT (LOG_LEVEL_WARNING, "slot_taken_over", LOG_U ("slot", slot),
             LOG_S ("director", text),
             LOG_I ("silent_ms", silence[slot] / USEC_PER_MSEC));
  roster_t changed = core->roster;
  changed.addresses[slot] = address;
  core->peers[slot].heard_at = now;
  core->share_at = 0;
  core_peers_adopt (core, &changed);
}

void
core_peers_announce (director_core_t *core, item_t *item, usec_t now)
{
  const fleet_announce_args_t *args = &item->body.announce;
  roster_t roster = roster_read (&args->roster);
  if (core->roster.n_slots == 0)
    {
      if (args->is_first)
        roster_former_hear (&core->former, args->address, now);
      if (roster.n_slots > 0)
        core_peers_adopt (core, &roster);
    }
  else if (roster.n_slots > 0)
    give_slot (core, args->address, &roster, now);
  fleet_announce_result_t result = { .roster = roster_wire (&core->roster) };
  rpc_reply (item->call, (xdrproc_t)xdr_fleet_announce_result_t, &result);
}

/* What another director answered to our announcement.  */
void
core_peers_roster (director_core_t *core, item_t *item)
{
  roster_t roster = roster_read (&item->body.roster.roster);
  if (roster.n_slots > 0 && !core->replica
      && !roster_equal (&core->roster, &roster))
    core_peers_adopt (core, &roster);
}

/* The leader's roster.  One that another director has taken the slot of keeps
   its own, and so stays out of the log.  */
static void
follow_roster (director_core_t *core, const fleet_roster_t *wire)
{
  roster_t roster = roster_read (wire);
  if (roster.n_slots == core->roster.n_slots
      && !roster_equal (&core->roster, &roster)
      && roster_slot (&roster, core->self) != SLOT_NONE)
    core_peers_adopt (core, &roster);
}

/* --- What directors tell each other ------------------------------------- */

/* The answer to a share, on the RPC thread.  */
typedef struct share_call
{
  director_core_t *core;
  uint32_t address;
} share_call_t;

static void
on_shared (void *closure, const rpc_result_t *result)
{
  share_call_t *call = closure;
  fleet_share_result_t answer = { 0 };
  if (result->ok
      && rpc_result_decode (result, (xdrproc_t)xdr_fleet_share_result_t,
                            &answer))
    {
      item_t *item = core_item (ITEM_SHARED);
      item->body.shared.address = call->address;
      item->body.shared.list_digest = answer.list_digest;
      if (!core_post (call->core, item))
        free (item);
    }
  free (call);
}

/* The leader tells all that it knows; another one what it heard itself.  The
   caller frees the bytes.  */
static packed_t
pack_routers (const director_core_t *core, usec_t now)
{
  static fleet_router_t routers[FLEET_ROUTERS_MAX];
  fleet_routers_t wire = { 0 };
  wire.routers.routers_val = routers;
  for (size_t i = 0; i < core->routers.n_records; i++)
    {
      const router_record_t *record = &core->routers.records[i];
      if (record->is_direct || core->role == ROLE_LEADER)
        routers[wire.routers.routers_len++] = fleet_wire_router (record, now);
    }
  return fleet_wire_pack ((xdrproc_t)xdr_fleet_routers_t, &wire);
}

static void
share_to (director_core_t *core, slot_t to, fleet_share_args_t *args,
          usec_t now)
{
  fleet_packed_t deltas[LIST_DELTAS_MAX];
  args->list = list_source_tell (&core->list_source, &core->list,
                                 core->peers[to].list_digest, deltas, now);
  share_call_t *call = calloc (1, sizeof *call);
  if (!call)
    abort ();
  *call
      = (share_call_t){ .core = core, .address = core->roster.addresses[to] };
  rpc_request_t request = { .procedure = FLEET_SHARE,
                            .encode = (xdrproc_t)xdr_fleet_share_args_t,
                            .args = args,
                            .done = on_shared,
                            .closure = call };
  call_director (core, call->address, &request);
}

/* Through the leader, so that the messages grow with the number of
   directors; from each to each where no leader is known.  */
static void
share (director_core_t *core, usec_t now)
{
  slot_t self = roster_slot (&core->roster, core->self);
  if (self == SLOT_NONE || !core->replica || now < core->share_at)
    return;
  core->share_at = now + SHARE_INTERVAL;
  bool leads = core->role == ROLE_LEADER;
  packed_t routers = pack_routers (core, now);
  fleet_share_args_t args = { .address = core->self, .slot = self };
  args.routers.fleet_packed_t_val = routers.bytes;
  args.routers.fleet_packed_t_len = (u_int)routers.length;
  if (leads && replica_is_current (core->replica, now))
    {
      args.confirmed_index = core->applied;
      args.roster = roster_wire (&core->roster);
    }
  for (slot_t slot = 0; slot < (slot_t)core->roster.n_slots; slot++)
    if (slot != self
        && (leads || core->leader == SLOT_NONE || core->leader == slot))
      share_to (core, slot, &args, now);
  free (routers.bytes);
}

static void
take_routers (director_core_t *core, const fleet_packed_t *packed, usec_t now)
{
  fleet_routers_t wire = { 0 };
  if (!fleet_wire_unpack ((xdrproc_t)xdr_fleet_routers_t, &wire, packed))
    LOG_EVENT (LOG_LEVEL_WARNING, "share_not_understood",
               LOG_U ("bytes", packed->fleet_packed_t_len));
  for (u_int i = 0; i < wire.routers.routers_len; i++)
    {
      router_record_t record;
      if (fleet_wire_read_router (&wire.routers.routers_val[i], now, &record))
        router_table_merge (&core->routers, &record);
    }
  xdr_free ((xdrproc_t)xdr_fleet_routers_t, (char *)&wire);
}

void
core_peers_share (director_core_t *core, item_t *item, usec_t now)
{
  const fleet_share_args_t *args = &item->body.share;
  if (args->confirmed_index > 0)
    follow_roster (core, &args->roster);
  if (args->slot < ROSTER_MAX
      && roster_slot (&core->roster, args->address) == args->slot)
    core->peers[args->slot].heard_at = now;
  take_routers (core, &args->routers, now);
  if (args->confirmed_index > 0)
    {
      core->confirm_index = args->confirmed_index;
      core->confirm_time = now;
    }
  core_pulls_update (core, &args->list, now);
  fleet_share_result_t result = { .list_digest = core->list.digest };
  rpc_reply (item->call, (xdrproc_t)xdr_fleet_share_result_t, &result);
}

void
core_peers_tick (director_core_t *core, usec_t now)
{
  roster_t formed;
  if (core->roster.n_slots == 0
      && roster_former_tick (&core->former, now, &formed))
    core_peers_adopt (core, &formed);
  announce (core, now);
  share (core, now);
}

/* --- What is called here, on the RPC thread ----------------------------- */

static void
serve_agree (void *closure, rpc_call_t *call)
{
  director_core_t *core = closure;
  fleet_agree_args_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_fleet_agree_args_t, &args))
    return;
  item_t *item = core_item (ITEM_AGREE);
  item->body.agree.address = args.address;
  item->body.agree.message
      = blob_new (args.message.message_val, args.message.message_len);
  xdr_free ((xdrproc_t)xdr_fleet_agree_args_t, (char *)&args);
  if (!core_post (core, item))
    {
      blob_unref (item->body.agree.message);
      free (item);
    }
  rpc_reply_void (call);
}

/* Post CALL with its arguments, read by FILTER into ARGS of ITEM.  */
static void
serve (director_core_t *core, rpc_call_t *call, item_t *item, xdrproc_t filter,
       void *args)
{
  if (!rpc_call_args (call, filter, args))
    {
      free (item);
      return;
    }
  item->call = call;
  if (core_post (core, item))
    return;
  LOG_EVENT (LOG_LEVEL_WARNING, "call_dropped",
             LOG_S ("reason", "the mailbox is full"));
  xdr_free (filter, args);
  free (item);
  rpc_reply_void (call);
}

static void
serve_pull (void *closure, rpc_call_t *call)
{
  item_t *item = core_item (ITEM_PULL);
  serve (closure, call, item, (xdrproc_t)xdr_fleet_pull_args_t,
         &item->body.pull);
}

static void
serve_share (void *closure, rpc_call_t *call)
{
  item_t *item = core_item (ITEM_SHARE);
  serve (closure, call, item, (xdrproc_t)xdr_fleet_share_args_t,
         &item->body.share);
}

static void
serve_announce (void *closure, rpc_call_t *call)
{
  item_t *item = core_item (ITEM_ANNOUNCE);
  serve (closure, call, item, (xdrproc_t)xdr_fleet_announce_args_t,
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
