/* core_internal: what the parts of the director's core share.  All of it
   belongs to the core thread, but for the mailbox.  */

#ifndef DIRECTOR_CORE_INTERNAL_H
#define DIRECTOR_CORE_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "agreement/storage.h"
#include "agreement/storage_thread.h"
#include "director/director_core.h"
#include "director/director_state.h"
#include "fleet/list_update.h"
#include "fleet/packed.h"
#include "fleet/router_table.h"
#include "wire/generated/fleet.h"

enum
{
  MAILBOX_ITEMS = 4096,
};

#define CORE_TICK (20 * USEC_PER_MSEC)
#define ANNOUNCE_INTERVAL (400 * USEC_PER_MSEC)
#define SHARE_INTERVAL (500 * USEC_PER_MSEC)
/* A disk that refused a write may be full for a while.  */
#define REOPEN_INTERVAL USEC_PER_SEC
/* A call to a peer that takes longer is lost; shorter than an election.  */
#define PEER_TIMEOUT (400 * USEC_PER_MSEC)

typedef enum
{
  ITEM_WAKE,     /* the disk has something to report */
  ITEM_AGREE,    /* a replica's message */
  ITEM_PULL,     /* a router asks */
  ITEM_SHARE,    /* another director tells */
  ITEM_ANNOUNCE, /* a director asks for the roster */
  ITEM_ROSTER,   /* the answer to our own announcement */
  ITEM_SHARED,   /* the answer to what we told */
  ITEM_ORDER,
  ITEM_LIST, /* read by this director */
} item_kind_t;

typedef struct item
{
  list_t link;
  item_kind_t kind;
  rpc_call_t *call; /* to be answered; NULL: none */
  union
  {
    struct
    {
      uint32_t address; /* the sender */
      blob_t *message;
    } agree;
    fleet_pull_args_t pull;
    fleet_share_args_t share;
    fleet_announce_args_t announce;
    fleet_announce_result_t roster;
    struct
    {
      uint32_t address;
      uint64_t list_digest;
    } shared;
    director_order_t *order;
    backend_list_t list;
  } body;
} item_t;

/* What is known of the director in a slot.  */
typedef struct director_peer
{
  usec_t heard_at; /* since this director leads; from the slot's holder */
  uint64_t list_digest;
  _Atomic int n_calls; /* messages on their way */
} director_peer_t;

struct director_core
{
  director_core_options_t options;
  const fleet_settings_t *settings; /* in force; held */
  uint32_t self;                    /* address */
  pthread_t thread;

  pthread_mutex_t lock; /* guards the mailbox */
  pthread_cond_t changed;
  list_t mailbox;
  size_t n_items;
  bool stops;
  _Atomic bool is_leader;      /* for the list reader */
  _Atomic usec_t list_read_at; /* for the list reader; 0: never */
  _Atomic slot_t slot;         /* for the list reader */

  storage_t *storage; /* NULL while the disk is lost */
  storage_thread_t *disk;
  replica_image_t image; /* as read, until the replica takes it over */
  uint64_t synced;
  usec_t reopen_at;   /* when the disk is lost: the next try */
  bool has_lost_disk; /* at some time since the start */
  replica_t *replica; /* NULL until the roster is known */
  replica_role_t role;
  slot_t leader;  /* as last logged */
  list_t records; /* persist actions that the disk had no room for */
  log_index_t snapshot_wanted;

  roster_t roster;
  roster_former_t former;
  usec_t announce_at;
  director_peer_t peers[ROSTER_MAX];

  director_state_t state;
  packed_t packed_config; /* of STATE, for routers */
  log_index_t applied;
  usec_t confirmed_at;       /* STATE was the newest then; 0: never */
  log_index_t confirm_index; /* STATE is, once this is applied */
  usec_t confirm_time;

  router_table_t routers;
  uint64_t routers_digest;
  packed_t packed_routers; /* those that take requests, for routers */
  usec_t share_at;
  backend_list_t list;
  list_source_t list_source;

  list_t orders; /* waiting or proposed */
  proposal_id_t next_id;
};

/* director_core.c */
/* Called on the storage thread: something was synced or has failed.  */
void core_on_disk (void *closure);
/* Post ITEM, malloc'd; false where the mailbox is full.  */
bool core_post (director_core_t *core, item_t *item);
item_t *core_item (item_kind_t kind);
void core_step (director_core_t *core, const event_t *event);

/* core_replica.c */
/* Open the data folder; false with ERR_STORAGE or ERR_IO.  */
bool core_replica_open_disk (director_core_t *core, err_t *err);
/* The disk failed: nothing that was told of it holds any more.  */
void core_replica_lose_disk (director_core_t *core, usec_t now);
/* While the disk is lost: try to go on from what it holds.  */
void core_replica_regain_disk (director_core_t *core, usec_t now);
void core_replica_close_disk (director_core_t *core);
void core_replica_open (director_core_t *core);
void core_replica_perform (director_core_t *core, list_t *actions);
void core_replica_write (director_core_t *core);

/* core_peers.c */
void core_peers_register (director_core_t *core);
void core_peers_send (director_core_t *core, const message_t *message);
void core_peers_tick (director_core_t *core, usec_t now);
void core_peers_share (director_core_t *core, item_t *item, usec_t now);
void core_peers_announce (director_core_t *core, item_t *item, usec_t now);
void core_peers_roster (director_core_t *core, item_t *item);
/* Take over the slots in ROSTER, and write them down.  */
void core_peers_adopt (director_core_t *core, const roster_t *roster);

/* core_pulls.c */
void core_pulls_answer (director_core_t *core, item_t *item, usec_t now);
void core_pulls_routers (director_core_t *core, usec_t now);
void core_pulls_list (director_core_t *core, backend_list_t *list);
void core_pulls_update (director_core_t *core,
                        const fleet_list_update_t *update, usec_t now);

/* core_view.c */
/* malloc'd.  */
char *core_view_text (const director_core_t *core);

/* core_orders.c */
void core_orders_take (director_core_t *core, director_order_t *order);
void core_orders_applied (director_core_t *core, proposal_id_t id);
void core_orders_refused (director_core_t *core, proposal_id_t id,
                          refuse_reason_t reason);
void core_orders_tick (director_core_t *core, usec_t now);

#endif
