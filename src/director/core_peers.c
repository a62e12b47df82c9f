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

static void
call_director (director_core_t *core, uint32_t to, rpc_request_t *request)
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
  call_director (core, core->roster.addresses[message->to], &request);
  blob_unref (bytes);
}

/* --- The roster --------------------------------------------------------- */

/* Returns false, and does nothing, while another roster is saved.  */
static bool
save_roster (director_core_t *core, const roster_t *roster)
{
  return roster_saver_save (core->roster_saver, core->settings->data_folder,
                            roster);
}

/* Use the roster that was to be saved.  If that failed it is used all the
   same: a director on a full disk goes on for as long as it runs.  */
static void
use_adopted_roster (director_core_t *core, usec_t now)
{
  const roster_t *roster = &core->adopted_roster;
  slot_t slot = roster_slot (roster, core->own_address);
  bool has_moved = core->replica
                   && slot != roster_slot (&core->roster, core->own_address);
  for (size_t i = 0; i < ROSTER_MAX; i++)
    if (core->roster.addresses[i] != roster->addresses[i])
      {
        core->peers[i].clock = (clock_offset_t){ 0 };
        core->peers[i].crashes_known = 0;
        core->peers[i].colds_told = 0;
        core->peers[i].form = MESSAGE_FORM_NOT_TOLD;
      }
  core->roster = *roster;
  core->adopted_roster = (roster_t){ 0 };
  core->next_share_at = 0;
  LOG_EVENT (LOG_LEVEL_INFO, "roster_adopted",
             LOG_U ("slots", core->roster.n_slots), LOG_U ("slot", slot));
  if (has_moved)
    core_replica_change_slot (core, now);
  else
    core_replica_open (core);
}

/* The save in progress has ended.  A roster that this director assigned counts
   only while it leads: the next leader may have assigned the slot anew.  */
static void
end_roster_save (director_core_t *core, bool is_saved, usec_t now)
{
  if (is_saved && core->is_roster_unsaved)
    LOG_EVENT (LOG_LEVEL_INFO, "roster_saved",
               LOG_U ("slots", core->roster.n_slots));
  core->is_roster_unsaved = !is_saved;
  core->next_roster_save_at = now + ROSTER_SAVE_INTERVAL;
  if (core->adopted_roster.n_slots == 0)
    return;
  bool may_assign
      = core->role == ROLE_LEADER && replica_is_current (core->replica, now);
  if (!core->is_roster_assigned || may_assign)
    {
      use_adopted_roster (core, now);
      return;
    }
  LOG_EVENT (LOG_LEVEL_INFO, "roster_given_up", LOG_S ("cause", "no leader"));
  core->adopted_roster = (roster_t){ 0 };
  core->is_roster_unsaved = true;
  core->next_roster_save_at = now;
}

static void
check_roster_save (director_core_t *core, usec_t now)
{
  switch (roster_saver_poll (core->roster_saver))
    {
    case ROSTER_SAVER_BUSY:
      return;
    case ROSTER_SAVER_SAVED:
      end_roster_save (core, true, now);
      break;
    case ROSTER_SAVER_FAILED:
      end_roster_save (core, false, now);
      break;
    case ROSTER_SAVER_IDLE:
      break;
    }
  if (core->is_roster_unsaved && now >= core->next_roster_save_at)
    save_roster (core, &core->roster);
}

/* Save ROSTER, and use it then.  IS_ASSIGNED: this director, as the leader,
   made it.  Returns false, and does nothing, while another one is saved:
   announcements and shares are repeated.  */
static bool
adopt_roster (director_core_t *core, const roster_t *roster, bool is_assigned)
{
  if (!save_roster (core, roster))
    return false;
  core->adopted_roster = *roster;
  core->is_roster_assigned = is_assigned;
  return true;
}

static roster_t
roster_from_wire (const fleet_roster_t *wire)
{
  roster_t roster = { .n_slots = wire->addresses.addresses_len };
  for (size_t i = 0; i < roster.n_slots; i++)
    roster.addresses[i] = wire->addresses.addresses_val[i];
  return roster;
}

static fleet_roster_t
roster_to_wire (roster_t *roster)
{
  fleet_roster_t wire = { 0 };
  wire.addresses.addresses_val = roster->addresses;
  wire.addresses.addresses_len = (u_int)roster->n_slots;
  return wire;
}

/* The reply to FLEET_ANNOUNCE, or its failure, on the RPC thread.  */
static void
on_announce_reply (void *closure, const rpc_result_t *result)
{
  director_core_t *core = closure;
  core_item_t *item = core_item_new (ITEM_ANNOUNCE_REPLY);
  if (result->ok
      && rpc_result_decode (result, (xdrproc_t)xdr_fleet_announce_result_t,
                            &item->body.announce_reply)
      && core_mailbox_post (core, item))
    return;
  xdr_free ((xdrproc_t)xdr_fleet_announce_result_t,
            (char *)&item->body.announce_reply);
  free (item);
}

static void
send_announcement (director_core_t *core, uint32_t address)
{
  fleet_announce_args_t args = { .address = core->own_address,
                                 .is_first = core->settings->first_start,
                                 .roster = roster_to_wire (&core->roster) };
  rpc_request_t request = { .procedure = FLEET_ANNOUNCE,
                            .encode = (xdrproc_t)xdr_fleet_announce_args_t,
                            .args = &args,
                            .done = on_announce_reply,
                            .closure = core };
  if (address != core->own_address)
    call_director (core, address, &request);
}

/* Whether this director has no slot, or may have lost the one that it had in
   its roster: then it hears no leader, as nobody sends to it.  */
static bool
may_lack_slot (const director_core_t *core, usec_t now)
{
  if (roster_slot (&core->roster, core->own_address) == SLOT_NONE)
    return true;
  return core->replica && core->leader_slot == SLOT_NONE
         && now >= core->leader_known_at + ROSTER_SLOT_TIMEOUT;
}

/* Announce this director to the seeds and to the roster's directors: while it
   may lack a slot, to get one; while its replica is new in its slot, so that
   the leader learns the new roster.  The leader may hold a slot that was
   another director's in this one's roster; the replies tell of it.  */
static void
send_announcements (director_core_t *core, usec_t now)
{
  bool is_new = core->role == ROLE_BLANK || core->role == ROLE_LEARNER;
  if ((!is_new && !may_lack_slot (core, now)) || now < core->next_announce_at)
    return;
  core->next_announce_at = now + ANNOUNCE_INTERVAL;
  const fleet_settings_t *settings = core->settings;
  for (size_t i = 0; i < settings->n_seeds; i++)
    if (roster_slot (&core->roster, settings->seeds[i].address) == SLOT_NONE)
      send_announcement (core, settings->seeds[i].address);
  for (size_t i = 0; i < core->roster.n_slots; i++)
    send_announcement (core, core->roster.addresses[i]);
  for (size_t i = 0; i < core->heard_roster.n_slots; i++)
    if (roster_slot (&core->roster, core->heard_roster.addresses[i])
        == SLOT_NONE)
      send_announcement (core, core->heard_roster.addresses[i]);
}

/* Assign a free slot to the director at ADDRESS, if it holds none; preferably
   the slot that it holds in CLAIMED_ROSTER.  Only the leader assigns slots, so
   that no two directors get the same one; the other directors receive the new
   roster with the leader's next share.  */
static void
reassign_slot (director_core_t *core, uint32_t address,
               const roster_t *claimed_roster, usec_t now)
{
  if (core->role != ROLE_LEADER || !replica_is_current (core->replica, now)
      || roster_slot (&core->roster, address) != SLOT_NONE)
    return;
  usec_t silence[ROSTER_MAX] = { 0 };
  for (size_t i = 0; i < core->roster.n_slots; i++)
    if (core->roster.addresses[i] != core->own_address)
      silence[i] = now - core->peers[i].last_heard_at;
  slot_t slot = roster_find_free_slot (&core->roster, silence,
                                       roster_slot (claimed_roster, address));
  if (slot == SLOT_NONE)
    return;
  roster_t new_roster = core->roster;
  new_roster.addresses[slot] = address;
  if (!adopt_roster (core, &new_roster, true))
    return;
  core->peers[slot].last_heard_at = now;
  char text[INET_TEXT_BYTES];
  inet_format_address (address, text);
  LOG_EVENT (LOG_LEVEL_WARNING, "slot_taken_over", LOG_U ("slot", slot),
             LOG_S ("director", text),
             LOG_I ("silent_ms", silence[slot] / USEC_PER_MSEC));
}

/* Said once; the director stands by, as the announcements go on.  */
static void
warn_roster_full (director_core_t *core, uint32_t address)
{
  if (core->has_warned_roster_full)
    return;
  core->has_warned_roster_full = true;
  char text[INET_TEXT_BYTES];
  inet_format_address (address, text);
  LOG_EVENT (LOG_LEVEL_ERROR, "roster_full", LOG_U ("slots", ROSTER_MAX),
             LOG_S ("director", text),
             LOG_S ("remedy", "run fewer directors; the others stand by"));
}

void
core_peers_handle_announce (director_core_t *core, core_item_t *item,
                            usec_t now)
{
  const fleet_announce_args_t *args = &item->body.announce;
  roster_t roster = roster_from_wire (&args->roster);
  if (core->roster.n_slots == 0)
    {
      if (args->is_first
          && !roster_bootstrap_add (&core->bootstrap, args->address, now))
        warn_roster_full (core, args->address);
      if (roster.n_slots > 0)
        adopt_roster (core, &roster, false);
    }
  else if (roster.n_slots > 0)
    reassign_slot (core, args->address, &roster, now);
  fleet_announce_result_t result
      = { .roster = roster_to_wire (&core->roster) };
  rpc_reply (item->call, (xdrproc_t)xdr_fleet_announce_result_t, &result);
}

void
core_peers_handle_announce_reply (director_core_t *core, core_item_t *item)
{
  roster_t roster = roster_from_wire (&item->body.announce_reply.roster);
  core->heard_roster = roster;
  if (roster.n_slots > 0 && !core->replica
      && !roster_equal (&core->roster, &roster))
    adopt_roster (core, &roster, false);
}

/* Adopt the roster that the leader shares.  A director whose slot was assigned
   to another director keeps its old roster instead, until it is given another
   slot: messages are accepted only from a slot's holder, so its replica does
   not take part in the log until then.  */
static void
adopt_leader_roster (director_core_t *core, const fleet_roster_t *wire)
{
  roster_t roster = roster_from_wire (wire);
  if (roster.n_slots == core->roster.n_slots
      && !roster_equal (&core->roster, &roster)
      && roster_slot (&roster, core->own_address) != SLOT_NONE)
    adopt_roster (core, &roster, false);
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
  call_director (core, call->address, &request);
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
      args->roster = roster_to_wire (&core->roster);
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
    adopt_leader_roster (core, &args->roster);
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
  roster_t roster;
  if (core->roster.n_slots == 0
      && roster_bootstrap_tick (&core->bootstrap, now, &roster))
    adopt_roster (core, &roster, false);
  if (core->leader_slot != SLOT_NONE)
    core->leader_known_at = now;
  check_roster_save (core, now);
  send_announcements (core, now);
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
