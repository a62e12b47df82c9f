#include "director/core_internal.h"

#include <stdlib.h>

#include "base/log.h"
#include "fleet/backend_list.h"
#include "fleet/fleet_wire.h"

/* Age at which the list of backend servers is read again.  A follower reads it
   only when it has received no recent list from the leader.  A long list gets
   1.75 s old until the next one arrives: 750 ms between two readings, half a
   second for a reading, and the time to the next share.  The age of a follower
   is higher by LIST_REFRESH_AGE_PER_SLOT for each slot before its own, so that
   not all followers read the list at once.  */
#define LIST_REFRESH_AGE_LEADER (400 * USEC_PER_MSEC)
#define LIST_REFRESH_AGE_FOLLOWER (2000 * USEC_PER_MSEC)
#define LIST_REFRESH_AGE_PER_SLOT (150 * USEC_PER_MSEC)
/* How long routers are told that an evacuation has ended; longer than the list
   of backend servers lags and takes to read.  */
#define REOPENED_LIFETIME (10 * USEC_PER_SEC)

bool
director_core_wants_list (director_core_t *core, usec_t now)
{
  usec_t read_at = atomic_load (&core->list_read_at);
  slot_t slot = atomic_load (&core->own_slot);
  usec_t age = atomic_load (&core->is_leader)
                   ? LIST_REFRESH_AGE_LEADER
                   : LIST_REFRESH_AGE_FOLLOWER
                         + (slot % ROSTER_MAX) * LIST_REFRESH_AGE_PER_SLOT;
  return slot != SLOT_NONE && now >= read_at + age;
}

/* Log the backend servers that are new, have changed or have disappeared.  */
static void
log_changes (const backend_list_t *from, const backend_list_t *to)
{
  for (size_t i = 0; i < to->n_records; i++)
    {
      const backend_record_t *record = &to->records[i];
      const backend_record_t *before = backend_list_find (from, record->id);
      if (before && before->is_draining == record->is_draining
          && before->started_unix_ms == record->started_unix_ms)
        continue;
      LOG_EVENT (LOG_LEVEL_INFO, "backend_seen", LOG_S ("id", record->id),
                 LOG_S ("service", record->service.text),
                 LOG_S ("state", record->is_draining ? "draining" : "ready"),
                 LOG_I ("cold_left_ms", record->cold_left / USEC_PER_MSEC));
    }
  for (size_t i = 0; i < from->n_records; i++)
    if (!backend_list_find (to, from->records[i].id))
      LOG_EVENT (LOG_LEVEL_INFO, "backend_gone",
                 LOG_S ("id", from->records[i].id));
}

void
core_pulls_replace_list (director_core_t *core, backend_list_t *list)
{
  if (list->read_at <= core->backend_list.read_at)
    {
      backend_list_clear (list);
      return;
    }
  bool changed = list->digest != core->backend_list.digest;
  if (changed)
    {
      log_changes (&core->backend_list, list);
      list_source_record_change (&core->list_source, &core->backend_list,
                                 list);
    }
  backend_list_clear (&core->backend_list);
  core->backend_list = *list;
  atomic_store (&core->list_read_at, list->read_at);
  if (changed)
    core->next_share_at = 0;
}

void
core_pulls_apply_list_update (director_core_t *core,
                              const fleet_list_update_t *update, usec_t now)
{
  usec_t read_at = list_update_read_at (update, now);
  if (update->digest == 0 || update->age < 0
      || read_at <= core->backend_list.read_at)
    return;
  if (update->digest == core->backend_list.digest)
    {
      list_update_advance_time (&core->backend_list, read_at);
      atomic_store (&core->list_read_at, read_at);
      return;
    }
  backend_list_t next;
  backend_list_copy (&next, &core->backend_list);
  if (list_update_apply (update, now, &next) == LIST_UPDATE_APPLIED)
    core_pulls_replace_list (core, &next);
  else
    backend_list_clear (&next);
}

/* Encode the routers that take requests, for the replies to pulls.  */
static void
pack_routers (director_core_t *core)
{
  static fleet_peer_t peers[FLEET_ROUTERS_MAX];
  fleet_peers_t wire = { 0 };
  wire.peers.peers_val = peers;
  for (size_t i = 0; i < core->router_table.n_records; i++)
    {
      const router_record_t *record = &core->router_table.records[i];
      if (record->takes_requests)
        peers[wire.peers.peers_len++]
            = (fleet_peer_t){ .address = record->request_address.address,
                              .port = record->request_address.port,
                              .is_cut_off = record->is_cut_off,
                              .domain
                              = FLEET_WIRE_TEXT (record->domain.text) };
    }
  free (core->packed_routers.bytes);
  core->packed_routers = fleet_wire_pack ((xdrproc_t)xdr_fleet_peers_t, &wire);
}

void
core_pulls_update_routers (director_core_t *core, usec_t now)
{
  notice_table_expire (&core->notices, now);
  size_t gone = router_table_expire (&core->router_table, now);
  uint64_t digest = router_table_digest (&core->router_table);
  if (digest == core->routers_digest)
    return;
  core->routers_digest = digest;
  pack_routers (core);
  lookup_view_put_routers (core->options.lookups, &core->router_table);
  LOG_EVENT (LOG_LEVEL_INFO, "routers_changed",
             LOG_U ("known", core->router_table.n_records),
             LOG_U ("gone", gone));
}

/* Fill in the failure domains whose evacuation ended recently; REOPENED has
   room for them.  */
static void
fill_reopened (director_core_t *core, fleet_pull_result_t *result,
               fleet_reopened_t *reopened, usec_t now)
{
  reopened_domains_expire (&core->reopened, now - REOPENED_LIFETIME);
  for (size_t i = 0; i < core->reopened.n; i++)
    {
      reopened_domain_t *item = &core->reopened.items[i];
      reopened[i] = (fleet_reopened_t){ .domain = item->name.text,
                                        .age = now - item->at };
    }
  result->reopened.reopened_val = reopened;
  result->reopened.reopened_len = (u_int)core->reopened.n;
}

/* Fill in the configuration, if it is newer than the router's, and the
   evacuated failure domains; EVACUATED has room for them.  */
static void
fill_state (const director_core_t *core, const fleet_pull_args_t *args,
            fleet_pull_result_t *result, fleet_name_t *evacuated)
{
  const director_state_t *state = &core->state;
  result->config_version = state->config_version;
  if (state->config && state->config_version > args->config_version)
    {
      result->config.config_val = core->packed_config.bytes;
      result->config.config_len = (u_int)core->packed_config.length;
    }
  result->evacuations_index = state->evacuations_index;
  for (size_t i = 0; i < state->n_evacuated; i++)
    evacuated[i] = FLEET_WIRE_TEXT (state->evacuated[i].text);
  result->evacuated.evacuated_val = evacuated;
  result->evacuated.evacuated_len = (u_int)state->n_evacuated;
}

/* Record what a router reports about itself, in a message of FORM.  */
static void
merge_router (director_core_t *core, const fleet_router_t *wire, uint32_t form,
              usec_t now)
{
  router_record_t record;
  if (fleet_wire_decode_router (wire, now, &record))
    {
      record.is_direct = true;
      record.form = form;
      router_table_merge (&core->router_table, &record);
    }
}

/* Record what backend servers have said of themselves to the router of
   ARGS.  */
static void
merge_notices (director_core_t *core, const fleet_pull_args_t *args,
               usec_t now)
{
  told_notice_t notices[NOTICES_MAX];
  if (!args->tells_notices)
    return;
  size_t n = notice_wire_read (args->notices.notices_val,
                               args->notices.notices_len, notices, now);
  if (!notice_table_put (&core->notices, args->router.address, notices, n,
                         now))
    LOG_EVENT (LOG_LEVEL_WARNING, "notices_full",
               LOG_S ("router", args->router.vm),
               LOG_U ("limit", NOTICE_TABLE_MAX));
}

void
core_pulls_answer (director_core_t *core, core_item_t *item, usec_t now)
{
  const fleet_pull_args_t *args = &item->body.pull.fixed;
  merge_router (core, &args->router,
                message_items_form (&item->body.pull.items), now);
  merge_notices (core, args, now);
  core_crashes_merge (core, args->suspects.suspects_val,
                      args->suspects.suspects_len, now, now);
  fleet_name_t evacuated[EVACUATED_MAX];
  fleet_packed_t deltas[LIST_DELTAS_MAX];
  pull_reply_t reply = { 0 };
  fleet_pull_result_t *result = &reply.fixed;
  *result = (fleet_pull_result_t){
    .confirmed_age = core->confirmed_at > 0 ? now - core->confirmed_at : -1,
    .routers_digest = core->routers_digest,
    .list = list_source_build_update (&core->list_source, &core->backend_list,
                                      args->list_digest, deltas, now)
  };
  fill_state (core, args, result, evacuated);
  fleet_reopened_t reopened[REOPENED_DOMAINS_MAX];
  fill_reopened (core, result, reopened, now);
  suspect_lists_t suspects;
  core_crashes_fill_result (core, args->quarantine_digest, result, &suspects);
  fleet_release_t releases[FLEET_WIRE_RELEASES_MAX];
  core_crashes_fill_releases (core, result, releases, now);
  if (args->wants_routers && args->routers_digest != core->routers_digest)
    {
      result->routers.fleet_packed_t_val = core->packed_routers.bytes;
      result->routers.fleet_packed_t_len = (u_int)core->packed_routers.length;
    }
  fleet_quota_t quotas[FLEET_WIRE_USAGES_MAX];
  core_quotas_answer (core, args, result, quotas, now);
  static fleet_load_t loads[FLEET_WIRE_LOADS_MAX];
  core_loads_answer (core, args, result, loads, now);
  static fleet_cold_t colds[FLEET_WIRE_COLDS_MAX];
  core_colds_answer (core, args, result, colds, now);
  result->directors.directors_val = core->roster.addresses;
  result->directors.directors_len = (u_int)core->roster.n_slots;
  rpc_reply (item->call, (xdrproc_t)message_xdr_pull_reply, &reply);
}
