#include "director/core_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"

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

fleet_roster_t
core_roster_to_wire (roster_t *roster)
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
  fleet_announce_args_t args
      = { .address = core->own_address,
          .is_first = core->settings->first_start,
          .roster = core_roster_to_wire (&core->roster) };
  rpc_request_t request = { .procedure = FLEET_ANNOUNCE,
                            .encode = (xdrproc_t)xdr_fleet_announce_args_t,
                            .args = &args,
                            .done = on_announce_reply,
                            .closure = core };
  if (address != core->own_address)
    core_peers_call (core, address, &request);
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
core_roster_handle_announce (director_core_t *core, core_item_t *item,
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
      = { .roster = core_roster_to_wire (&core->roster) };
  rpc_reply (item->call, (xdrproc_t)xdr_fleet_announce_result_t, &result);
}

void
core_roster_handle_announce_reply (director_core_t *core, core_item_t *item)
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
void
core_roster_adopt_shared (director_core_t *core, const fleet_roster_t *wire)
{
  roster_t roster = roster_from_wire (wire);
  if (roster.n_slots == core->roster.n_slots
      && !roster_equal (&core->roster, &roster)
      && roster_slot (&roster, core->own_address) != SLOT_NONE)
    adopt_roster (core, &roster, false);
}

void
core_roster_tick (director_core_t *core, usec_t now)
{
  roster_t roster;
  if (core->roster.n_slots == 0
      && roster_bootstrap_tick (&core->bootstrap, now, &roster))
    adopt_roster (core, &roster, false);
  check_roster_save (core, now);
  send_announcements (core, now);
}
