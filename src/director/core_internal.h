/* core_internal: the declarations that the parts of the director's core share.
   Everything here belongs to the core thread, except the mailbox and the
   _Atomic fields.  */

#ifndef DIRECTOR_CORE_INTERNAL_H
#define DIRECTOR_CORE_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "agreement/replica_disk.h"
#include "director/director_core.h"
#include "director/director_state.h"
#include "director/roster_saver.h"
#include "fleet/clock_offset.h"
#include "fleet/cold_table.h"
#include "fleet/crash_table.h"
#include "fleet/crash_wire.h"
#include "fleet/list_update.h"
#include "fleet/message_items.h"
#include "fleet/notice_wire.h"
#include "fleet/packed.h"
#include "fleet/reopened_domains.h"
#include "fleet/router_table.h"
#include "load/load_table.h"
#include "quota/book.h"
#include "wire/generated/fleet.h"

enum
{
  MAILBOX_ITEMS_MAX = 4096,
};

/* A roster of any size that a replica accepts fits into each message.  */
_Static_assert((int)ROSTER_MAX == FLEET_WIRE_DIRECTORS_MAX
                   && (int)FLEET_DIRECTORS_MAX == FLEET_WIRE_DIRECTORS_MAX,
               "the limits of directors differ");
_Static_assert((int)REOPENED_DOMAINS_MAX == FLEET_WIRE_DOMAINS_MAX,
               "the limits of failure domains differ");

#define CORE_TICK_INTERVAL (20 * USEC_PER_MSEC)
#define ANNOUNCE_INTERVAL (400 * USEC_PER_MSEC)
#define SHARE_INTERVAL (500 * USEC_PER_MSEC)
/* While routers report loads, or requests of accounts with a quota.  */
#define SHARE_INTERVAL_REPORTS (250 * USEC_PER_MSEC)
#define CRASH_EXPIRY_INTERVAL USEC_PER_SEC
/* A disk that refused a write may stay full for a while.  */
#define ROSTER_SAVE_INTERVAL USEC_PER_SEC
/* Calls to other directors are given up after this; no longer than the
   shortest election timeout.  */
#define PEER_CALL_TIMEOUT (400 * USEC_PER_MSEC)

/* What the mailbox delivers to the core thread.  */
typedef enum
{
  ITEM_STORAGE_EVENT,   /* records were synced, or a write has failed */
  ITEM_REPLICA_MESSAGE, /* FLEET_AGREE: a message of another replica */
  ITEM_PULL,            /* FLEET_PULL: a router reports itself and asks for
                           updates */
  ITEM_SHARE,           /* FLEET_SHARE: state that another director sends */
  ITEM_ANNOUNCE,        /* FLEET_ANNOUNCE: a director asks for the roster */
  ITEM_ANNOUNCE_REPLY,  /* the reply to this director's FLEET_ANNOUNCE */
  ITEM_SHARE_REPLY,     /* the reply to this director's FLEET_SHARE */
  ITEM_OPERATOR_REQUEST,
  ITEM_BACKEND_LIST, /* a list that this director's reader has read */
} core_item_kind_t;

typedef struct core_item
{
  list_t link;
  core_item_kind_t kind;
  rpc_call_t *call; /* to reply to, or NULL */
  union
  {
    struct
    {
      uint32_t sender_address; /* IPv4 */
      blob_t *encoded;         /* by message_encode */
    } replica_message;
    pull_message_t pull;
    share_message_t share;
    fleet_announce_args_t announce;
    fleet_announce_result_t announce_reply;
    struct
    {
      uint32_t address;          /* IPv4, of the director that replied */
      uint64_t list_digest;      /* of its list of backend servers */
      uint64_t incarnation;      /* of its process */
      uint32_t form;             /* of its messages */
      uint64_t crashes_sequence; /* of the crash reports sent to it */
      uint64_t colds_sent;       /* the changes of `colds` sent to it */
    } share_reply;
    operator_request_t *operator_request;
    backend_list_t backend_list;
  } body;
} core_item_t;

/* What this director knows of the director that holds a slot.  */
typedef struct director_peer
{
  uint32_t form; /* of its messages; MESSAGE_FORM_NOT_TOLD: not known */
  /* When the slot's holder was last heard from; 0: never.  Reset to the
     present when this director becomes leader or assigns the slot.  */
  usec_t last_heard_at;
  uint64_t list_digest;          /* of its list; 0: none, or not known */
  clock_offset_t clock;          /* of its shares */
  uint64_t incarnation;          /* of its process, by its last reply */
  uint64_t crashes_known;        /* the changes of `crashes` that it has */
  uint64_t loads_told;           /* the changes of `loads` sent to it */
  uint64_t colds_told;           /* the changes of `colds` that it has */
  _Atomic int n_calls_in_flight; /* FLEET_AGREE calls without a reply yet */
} director_peer_t;

struct director_core
{
  director_core_options_t options;
  const fleet_settings_t *settings; /* acquired from the feed */
  uint32_t own_address;             /* IPv4 */
  pthread_t thread;

  pthread_mutex_t lock; /* guards the mailbox */
  pthread_cond_t mailbox_changed;
  list_t mailbox; /* of core_item_t */
  size_t n_mailbox_items;
  bool is_stopping;
  _Atomic bool is_leader;      /* read by the list reader */
  _Atomic usec_t list_read_at; /* read by the list reader; 0: never */
  _Atomic slot_t own_slot;     /* read by the list reader */

  replica_disk_t disk; /* not open after a disk failure, until reopened */
  replica_image_t stored_image; /* as read, until the replica takes it over */
  log_index_t stored_index;     /* last entry that the disk held then */
  usec_t opened_at;             /* when the disk was last opened */
  bool has_warned_roster_full;  /* that a director has no slot */
  bool must_publish_config;     /* STATE's configuration is newer than
                                   PACKED_CONFIG */
  bool is_roster_unsaved;       /* ROSTER is not on disk */
  bool is_roster_assigned;      /* ADOPTED_ROSTER is of this director, as
                                   leader */
  replica_t *replica; /* NULL without a slot, and after a disk failure */
  replica_role_t role;
  slot_t leader_slot;     /* as last logged */
  usec_t leader_known_at; /* when a leader was last known, or the start */
  log_index_t snapshot_due_index; /* 0: no snapshot is due */

  roster_t roster;
  usec_t next_roster_save_at; /* while the roster is unsaved */
  roster_saver_t *roster_saver;
  roster_t adopted_roster; /* used once it is saved; no slots: none */
  roster_bootstrap_t bootstrap;
  usec_t next_announce_at;
  roster_t heard_roster;             /* by the last reply to an announcement */
  director_peer_t peers[ROSTER_MAX]; /* by slot */

  director_state_t state;
  reopened_domains_t reopened; /* evacuations of STATE that ended recently */
  packed_t packed_config;      /* STATE's configuration, as routers get it */
  log_index_t applied_index;   /* STATE includes all entries up to here */
  usec_t confirmed_at; /* when STATE was last known to be current; 0: never */
  /* At PENDING_CONFIRM_AT the leader had applied entries up to
     PENDING_CONFIRM_INDEX and was current, so STATE is confirmed for that time
     once it includes them.  */
  log_index_t pending_confirm_index;
  usec_t pending_confirm_at;

  router_table_t router_table;
  uint64_t routers_digest;
  packed_t packed_routers; /* the routers that take requests, for routers */
  usec_t next_share_at;
  backend_list_t backend_list;
  list_source_t list_source; /* encodes BACKEND_LIST for peers */

  notice_table_t notices; /* reported by the routers that pull from here */
  crash_table_t crashes;  /* reported by routers and directors */
  usec_t next_crash_expiry_at;
  size_t n_quarantined;
  fingerprint_t quarantined[QUARANTINED_MAX]; /* sorted */
  size_t n_on_trial;
  fingerprint_t on_trial[QUARANTINED_MAX]; /* sorted */
  uint64_t quarantine_digest;              /* of both */

  book_t quotas; /* of the client accounts in STATE's configuration */
  usec_t next_quota_expiry_at;
  load_table_t loads; /* of backend servers, as routers told lately */
  usec_t next_load_expiry_at;
  cold_table_t colds; /* backend servers that are cold, or may be */
  usec_t ran_at;      /* when the thread last looked for work; 0: never */
  usec_t resumed_at;  /* when the process was last paused until; 0: never */
  usec_t next_cold_expiry_at;

  list_t operator_requests; /* unfinished; some are proposed */
  proposal_id_t last_proposal_id;
};

/* director_core.c */

/* Callback of the storage thread; CLOSURE is the core.  */
void core_on_storage_event (void *closure);
/* Post ITEM, which passes to the core.  False where the mailbox is full or the
   core is stopping; ITEM then stays the caller's.  Any thread may call it.  */
bool core_mailbox_post (director_core_t *core, core_item_t *item);
/* A zeroed item of KIND, malloc'd.  */
core_item_t *core_item_new (core_item_kind_t kind);
/* Do what ITEM asks for, and free it.  */
void core_item_handle (director_core_t *core, core_item_t *item, usec_t now);
/* Give EVENT to the replica, carry out its actions and follow its role.  */
void core_step_replica (director_core_t *core, const event_t *event);

/* core_replica.c */

/* Read the data folder and start the storage thread.  False with ERR_STORAGE,
   ERR_NO_SPACE or ERR_IO.  */
bool core_replica_open_disk (director_core_t *core, err_t *err);
/* After a failed write: halt the replica and close the disk.  STATE is no
   longer confirmed.  */
void core_replica_fail_disk (director_core_t *core, usec_t now);
/* After a disk failure: try to reopen the data folder when due, and to start a
   replica from it.  */
void core_replica_reopen_disk (director_core_t *core, usec_t now);
/* Start the replica anew, from its folder, in the slot that the roster gives
   this director now.  */
void core_replica_change_slot (director_core_t *core, usec_t now);
/* Free the replica; stop the storage thread.  */
void core_replica_close_disk (director_core_t *core);
/* Start the replica, if this director has a slot and a disk and no replica
   yet.  */
void core_replica_open (director_core_t *core);
/* Carry out ACTIONS in order, and free them.  */
void core_replica_perform (director_core_t *core, list_t *actions);

/* core_peers.c */

/* Register the RPC procedures of a director.  */
void core_peers_register (director_core_t *core);
/* Send MESSAGE to its replica; dropped while too many calls to that director
   are in flight.  */
void core_peers_send (director_core_t *core, const message_t *message);
/* Send REQUEST, of which the procedure, the arguments and the callback are
   set, to the director at the address TO.  */
void core_peers_call (director_core_t *core, uint32_t to,
                      rpc_request_t *request);
/* Do what is due of the roster, and share.  */
void core_peers_tick (director_core_t *core, usec_t now);
/* The messages of the director that holds SLOT have FORM.  */
void core_peers_note_form (director_core_t *core, slot_t slot, uint32_t form);
/* Handle an ITEM_SHARE and reply.  */
void core_peers_handle_share (director_core_t *core, core_item_t *item,
                              usec_t now);

/* core_roster.c */

/* Create the roster at the first start; save it; announce when due.  */
void core_roster_tick (director_core_t *core, usec_t now);
/* Borrows ROSTER's addresses.  */
fleet_roster_t core_roster_to_wire (roster_t *roster);
/* Handle an ITEM_ANNOUNCE and reply.  */
void core_roster_handle_announce (director_core_t *core, core_item_t *item,
                                  usec_t now);
/* Handle an ITEM_ANNOUNCE_REPLY.  */
void core_roster_handle_announce_reply (director_core_t *core,
                                        core_item_t *item);
/* Adopt the roster WIRE that the leader shares, if it differs.  */
void core_roster_adopt_shared (director_core_t *core,
                               const fleet_roster_t *wire);

/* core_pulls.c */

/* Handle an ITEM_PULL and reply.  */
void core_pulls_answer (director_core_t *core, core_item_t *item, usec_t now);
/* Expire routers at NOW, and publish the router table if it has changed.  */
void core_pulls_update_routers (director_core_t *core, usec_t now);
/* Replace the list of backend servers by LIST, if that was read later.  Takes
   ownership of LIST's records.  */
void core_pulls_replace_list (director_core_t *core, backend_list_t *list);
/* Apply a list update that another director has sent, if its list was read
   later.  */
void core_pulls_apply_list_update (director_core_t *core,
                                   const fleet_list_update_t *update,
                                   usec_t now);

/* core_crashes.c */

/* Merge N crash reports of a router or director, sent at SENT_AT.  */
void core_crashes_merge (director_core_t *core,
                         const fleet_suspect_t *suspects, size_t n,
                         usec_t sent_at, usec_t now);
/* Room for what a pull's result tells of suspects.  */
typedef struct suspect_lists
{
  fleet_fingerprint_t quarantined[QUARANTINED_MAX];
  fleet_fingerprint_t on_trial[QUARANTINED_MAX];
} suspect_lists_t;

/* Fill in the requests that are quarantined or on trial, unless the router has
   those with KNOWN_DIGEST.  RESULT refers to LISTS.  */
void core_crashes_fill_result (const director_core_t *core,
                               uint64_t known_digest,
                               fleet_pull_result_t *result,
                               suspect_lists_t *lists);
/* Fill in the last releases by operators; RELEASES has room for
   FLEET_WIRE_RELEASES_MAX.  */
void core_crashes_fill_releases (const director_core_t *core,
                                 fleet_pull_result_t *result,
                                 fleet_release_t *releases, usec_t now);
/* End the quarantine of FINGERPRINT, here at once, and at the other directors
   and at routers with what they are told next.  Returns false if it is not
   quarantined.  */
bool core_crashes_release (director_core_t *core, fingerprint_t fingerprint,
                           usec_t now);
/* Fill in the reports that the director in slot TO does not have yet.  ARGS
   refers to REPORT.  */
void core_crashes_fill_share (const director_core_t *core, slot_t to,
                              fleet_share_args_t *args, crash_report_t *report,
                              usec_t now);
/* The director in slot TO, whose process has INCARNATION, has received the
   reports up to SEQUENCE.  */
void core_crashes_shared (director_core_t *core, slot_t to,
                          uint64_t incarnation, uint64_t sequence);
/* Drop old reports when due.  */
void core_crashes_tick (director_core_t *core, usec_t now);

/* core_quotas.c */

/* Use the quotas of CONFIG from now on.  */
void core_quotas_set_config (director_core_t *core,
                             const route_config_t *config);
/* Count what the router of ARGS reports, and fill in the buckets of these
   accounts; QUOTAS has room for FLEET_WIRE_USAGES_MAX.  */
void core_quotas_answer (director_core_t *core, const fleet_pull_args_t *args,
                         fleet_pull_result_t *result, fleet_quota_t *quotas,
                         usec_t now);
/* What a share carries of quotas.  */
typedef struct quota_share
{
  fleet_total_t totals[FLEET_WIRE_TOTALS_MAX];
  fleet_bucket_t buckets[FLEET_WIRE_TOTALS_MAX];
} quota_share_t;
/* Fill in what the director in slot TO is to know.  ARGS refers to SHARE.  */
void core_quotas_fill_share (director_core_t *core, slot_t to,
                             fleet_share_args_t *args, quota_share_t *share,
                             usec_t now);
/* Apply what another director shares.  */
void core_quotas_merge_share (director_core_t *core,
                              const fleet_share_args_t *args, usec_t now);
/* Whether requests of accounts with a quota were reported lately.  */
bool core_quotas_are_used (const director_core_t *core, usec_t now);
/* Forget unused accounts when due.  */
void core_quotas_tick (director_core_t *core, usec_t now);

/* core_loads.c */

/* Keep the load reports of the router of ARGS, and fill in those that it does
   not have; LOADS has room for FLEET_WIRE_LOADS_MAX.  */
void core_loads_answer (director_core_t *core, const fleet_pull_args_t *args,
                        fleet_pull_result_t *result, fleet_load_t *loads,
                        usec_t now);
/* Fill in those that the director in slot TO was not sent yet; LOADS as
   above.  */
void core_loads_fill_share (director_core_t *core, slot_t to,
                            fleet_share_args_t *args, fleet_load_t *loads,
                            usec_t now);
/* Keep the load reports that another director shares.  */
void core_loads_merge_share (director_core_t *core,
                             const fleet_share_args_t *args, usec_t sent_at);
/* Whether routers told of loads lately.  */
bool core_loads_are_told (const director_core_t *core);
/* Forget old reports when due.  */
void core_loads_tick (director_core_t *core, usec_t now);

/* core_colds.c */

/* The core's thread looks for work at NOW.  */
void core_colds_note_run (director_core_t *core, usec_t now);
/* Keep which backend servers the router of ARGS saw to be cold, or to have
   ended, and fill in those that it does not know of; COLDS has room for
   FLEET_WIRE_COLDS_MAX.  After a pause of this process nothing is kept, and
   RESULT has no source, so that the router tells all again.  */
void core_colds_answer (director_core_t *core, const fleet_pull_args_t *args,
                        fleet_pull_result_t *result, fleet_cold_t *colds,
                        usec_t now);
/* Fill in those that the director in slot TO does not know of; COLDS as above.
   Returns the last change that they include.  */
uint64_t core_colds_fill_share (director_core_t *core, slot_t to,
                                fleet_share_args_t *args, fleet_cold_t *colds,
                                usec_t now);
/* The director in slot TO, whose process is INCARNATION, has the changes up to
   SENT.  To be called before core_crashes_shared.  */
void core_colds_shared (director_core_t *core, slot_t to, uint64_t incarnation,
                        uint64_t sent);
/* Keep what another director shares.  */
void core_colds_merge_share (director_core_t *core,
                             const fleet_share_args_t *args, usec_t sent_at,
                             usec_t now);
/* Forget what has ended when due.  */
void core_colds_tick (director_core_t *core, usec_t now);

/* core_view.c */

/* This director's view of the deployment as JSON text, malloc'd.  */
char *core_view_json (const director_core_t *core);

/* core_operator.c */

/* Answer REQUEST at once or keep it until it is committed or times out.  */
void core_operator_submit (director_core_t *core, operator_request_t *request);
/* Finish the request whose proposal ID was committed and applied.  */
void core_operator_applied (director_core_t *core, proposal_id_t id);
/* The replica refused proposal ID: its request is proposed again at the next
   tick, or fails where the disk has failed.  */
void core_operator_refused (director_core_t *core, proposal_id_t id,
                            refuse_reason_t reason);
/* Retry requests that are not proposed, and time out old ones.  NOW may be
   INT64_MAX to finish all.  */
void core_operator_tick (director_core_t *core, usec_t now);

#endif
