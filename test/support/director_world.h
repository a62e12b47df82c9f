/* director_world: the core of a director without its thread and its disk, and
   messages handed to it.  */

#ifndef TEST_SUPPORT_DIRECTOR_WORLD_H
#define TEST_SUPPORT_DIRECTOR_WORLD_H

#include <stdlib.h>
#include <string.h>

#include "director/core_internal.h"
#include "fleet/backend_list.h"
#include "held_rpc.h"

#define DIRECTOR_ADDRESS 0x7f000001u

typedef struct director_world
{
  fleet_settings_t settings;
  director_core_t core;
} director_world_t;

static inline director_world_t *
director_world_new (void)
{
  director_world_t *world = calloc (1, sizeof *world);
  if (!world)
    abort ();
  director_core_t *core = &world->core;
  strcpy (world->settings.vm.text, "director-1");
  world->settings.seeds[world->settings.n_seeds++].address = DIRECTOR_ADDRESS;
  core->settings = &world->settings;
  core->options.rpc = held_rpc_open ();
  core->options.lookups = lookup_view_new ();
  core->options.seed = 1;
  core->roster_saver = roster_saver_start (NULL);
  core->own_address = DIRECTOR_ADDRESS;
  core->leader_slot = SLOT_NONE;
  list_init (&core->mailbox);
  replica_disk_init (&core->disk, core_on_storage_event, core);
  list_init (&core->operator_requests);
  pthread_mutex_init (&core->lock, NULL);
  pthread_cond_init (&core->mailbox_changed, NULL);
  core->roster.n_slots = 1;
  core->roster.addresses[0] = DIRECTOR_ADDRESS;
  core_peers_register (core);
  return world;
}

static inline void
director_world_free (director_world_t *world)
{
  director_core_t *core = &world->core;
  roster_saver_stop (core->roster_saver);
  held_rpc_drop_replies (core->options.rpc);
  rpc_close (core->options.rpc);
  lookup_view_free (core->options.lookups);
  director_state_clear (&core->state);
  free (core->packed_config.bytes);
  free (core->packed_routers.bytes);
  list_source_clear (&core->list_source);
  backend_list_clear (&core->backend_list);
  book_clear (&core->quotas);
  load_table_clear (&core->loads);
  cold_table_clear (&core->colds);
  pthread_mutex_destroy (&core->lock);
  pthread_cond_destroy (&core->mailbox_changed);
  free (world);
}

/* Let the core decode LENGTH bytes as a call of PROCEDURE.  */
static inline void
director_world_call (director_world_t *world, uint32_t procedure,
                     const void *bytes, size_t length)
{
  rpc_t *rpc = world->core.options.rpc;
  const rpc_call_header_t header = { .procedure = procedure };
  static const unsigned char mac[RPC_MAC_BYTES];
  for (size_t i = 0; i < rpc->n_routes; i++)
    if (rpc->routes[i].procedure == procedure)
      rpc->routes[i].handler (
          rpc->routes[i].closure,
          rpc_call_new (rpc, 1, &header, mac, bytes, length));
}

/* Let the core handle what has arrived, at NOW.  */
static inline void
director_world_handle (director_world_t *world, usec_t now)
{
  director_core_t *core = &world->core;
  list_t *link;
  while ((link = list_pop_front (&core->mailbox)))
    {
      core->n_mailbox_items--;
      core_item_handle (core, LIST_ENTRY (link, core_item_t, link), now);
    }
}

#endif
