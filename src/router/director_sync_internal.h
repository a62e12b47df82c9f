/* director_sync_internal: the state of director_sync, and the functions that
   its source files call in each other.  */

#ifndef ROUTER_DIRECTOR_SYNC_INTERNAL_H
#define ROUTER_DIRECTOR_SYNC_INTERNAL_H

#include <pthread.h>

#include "fleet/cold_wire.h"
#include "fleet/crash_wire.h"
#include "fleet/load_wire.h"
#include "fleet/message_items.h"
#include "fleet/notice_wire.h"
#include "router/director_choice.h"
#include "router/director_sync.h"

struct director_sync
{
  director_sync_options_t options;
  usec_t started_at;
  pthread_mutex_t lock; /* guards all members below */
  director_choice_t directors;
  usec_t pull_sent_at;
  bool is_pulling;
  usec_t next_pull_at;
  bool takes_requests;
  bool is_cut_off;      /* no backend server is in reach */
  bool is_disconnected; /* the last pull failed */
  bool is_fresh; /* the last answer was of a director in touch with the leader
                  */
  fleet_snapshot_t *snapshot;
  uint64_t config_version;
  uint64_t evacuations_index;
  uint64_t list_digest;
  uint64_t routers_digest;
  usec_t routers_pulled_at; /* when the list was last received */
  uint64_t quarantine_digest;
  backend_pool_t *pool; /* set before the first tick */
  usec_t notices_told_at;
  const crash_table_t *crashes; /* set before the first tick */
  uint32_t director_form; /* of the messages of the director that answered */
  uint32_t crashes_director; /* the director that crashes_known is for */
  uint64_t crashes_known;    /* changes of CRASHES that it has */
  uint64_t crashes_sent;     /* the same, once it answers the pull */
  size_t n_releases;         /* by the last pull */
  director_release_t releases[DIRECTOR_RELEASES_MAX];
  bool is_confirmed;
  limiter_t *limiter;              /* NULL: no quotas */
  const load_table_t *heard_loads; /* NULL: none are told */
  uint64_t heard_known;            /* changes of HEARD_LOADS that were told */
  uint64_t heard_sent;             /* the same, once the pull is answered */
  uint64_t source;      /* process of the director that loads_known and
                           colds_known are for */
  uint64_t loads_known; /* its changes that were received */
  const cold_table_t *seen_colds; /* NULL: none are told */
  uint64_t seen_known;            /* changes of SEEN_COLDS that were told */
  uint64_t seen_sent;             /* the same, once the pull is answered */
  uint64_t seen_taken; /* by a director in touch with the leader, at any
                          time */
  uint64_t colds_known;
  /* What the last pull told for the limiter and the pool.  */
  bool has_ended;   /* it is not applied yet */
  bool is_answered; /* valid if has_ended, as the following */
  size_t n_quotas;
  quota_state_t quotas[QUOTA_USAGES_MAX];
  size_t n_loads;
  load_report_t loads[LOADS_MAX];
  size_t n_colds;
  cold_report_t colds[COLDS_MAX];
};

/* director_apply.c */
/* Apply RESULT of a pull.  Returns true if the snapshot was replaced or has
   become confirmed.  With the lock held.  */
bool director_apply_result (director_sync_t *sync,
                            const fleet_pull_result_t *result, usec_t now);

/* director_report.c */
/* Room for what one pull reports.  */
typedef struct director_report
{
  crash_report_t crashes;
  fleet_notice_t notices[NOTICES_MAX];
  fleet_usage_t usages[QUOTA_USAGES_MAX];
  fleet_load_t loads[LOADS_MAX];
  fleet_cold_t colds[COLDS_MAX];
} director_report_t;

/* Fill ARGS with what DIRECTOR is to be told, and what is known of it; ARGS
   refers to REPORT.  With the lock held.  */
void director_report_fill (director_sync_t *sync, uint32_t director,
                           fleet_pull_args_t *args, director_report_t *report,
                           usec_t now);
/* Keep what RESULT of a pull tells for the limiter and the pool; only the
   state of a director that is up to date (IS_FRESH) counts for quotas.  RESULT
   is NULL if the pull failed.  With the lock held.  */
void director_report_keep_result (director_sync_t *sync,
                                  const fleet_pull_result_t *result,
                                  bool is_fresh, usec_t now);
/* Apply what was kept.  With the lock held.  */
void director_report_settle (director_sync_t *sync, usec_t now);

#endif
