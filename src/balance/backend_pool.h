/* backend_pool: one router's view of the backend servers, and the choice of
   the backend server for each request.

   No I/O and no clock: callers pass in the present time NOW, in usec of the
   monotonic clock.  Not thread-safe.

   A router counts its own requests exactly.  It learns of the load that other
   routers cause from the load report in each answer of a backend server; the
   older a report, the less weight it has.  Requests with the same affinity key
   (an "object") go to the same few backend servers, because a backend server
   handles an object faster while it has that object cached.  */

#ifndef BALANCE_BACKEND_POOL_H
#define BALANCE_BACKEND_POOL_H

#include "balance/backend_notices.h"
#include "balance/backend_quality.h"
#include "balance/limit_share.h"
#include "balance/recent_objects.h"
#include "balance/run_estimate.h"
#include "base/list.h"
#include "base/random.h"
#include "fleet/cold_table.h"
#include "fleet/fleet_defs.h"
#include "fleet/notice_table.h"
#include "fleet/reopened_domains.h"
#include "load/load_defs.h"
#include "routing/route_defs.h"
#include "settings/fleet_settings.h"

enum
{
  POOL_EXCLUDED_MAX = 8, /* backend servers that one request can exclude */
};

/* Health of a backend server as this router sees it.  */
typedef enum
{
  BACKEND_UP,
  BACKEND_DOWN, /* requests failed; no requests until a probe succeeds */
} backend_health_t;

/* Result of one request to a backend server.  */
typedef enum
{
  BACKEND_ANSWERED,         /* valid answer with a status below 500 */
  BACKEND_SERVER_ERROR,     /* valid answer with a 5xx status */
  BACKEND_REFUSED,          /* refused before the request started to run */
  BACKEND_DOUBTFUL_REFUSAL, /* a status that promises callers that the request
                               has not run, without the field that states it */
  BACKEND_MISDIRECTED,      /* another backend server has this address */
  BACKEND_NO_VALID_ANSWER,  /* no connection, or an incomplete or untrusted
                               answer */
  BACKEND_OTHER_ANSWER,     /* an answer to an earlier request on the
                               connection */
  BACKEND_CANCELLED,        /* this router ended the call */
} backend_result_t;

/* Load report of a backend server, in requests.  */
typedef struct backend_load
{
  bool is_known; /* the answer carried a report */
  uint32_t running;
  uint32_t waiting;
  uint32_t slots; /* requests that can run at the same time */
  uint32_t pace; /* how long work takes there now, in percent of normal; 0: not
                    told */
} backend_load_t;

typedef struct backend
{
  list_t link;
  backend_record_t record;
  name_t region;
  uint64_t id_hash;
  uint32_t load_id; /* in load reports */
  bool is_listed;   /* in the directors' latest list */
  bool is_evacuated;
  double weight; /* in weighted rendezvous hashing */

  uint32_t in_flight;      /* requests of this router */
  uint32_t other_load;     /* requests of other routers, by the last report */
  usec_t load_reported_at; /* 0: never */
  uint32_t pace;           /* by the last report; 0: not told */
  double other_load_mean;  /* exponentially weighted mean of other_load */
  usec_t latency;          /* weighted mean of BACKEND_ANSWERED; 0: none */
  recent_objects_t recent_objects; /* that this router sent to it */

  backend_notice_t notice; /* what it said itself */
  backend_quality_t quality;
  backend_health_t health;
  /* Results BACKEND_NO_VALID_ANSWER and BACKEND_MISDIRECTED since the last
     BACKEND_ANSWERED that shows a run, successful probe or restart of the
     backend server.
     BACKEND_SERVER_ERROR, BACKEND_REFUSED, BACKEND_OTHER_ANSWER and
     BACKEND_CANCELLED leave the count unchanged.  */
  uint32_t consecutive_failures;
  usec_t next_probe_at; /* valid while health is BACKEND_DOWN */
  bool is_probing;
  bool wants_probe;      /* whatever its health is */
  bool probes_when_told; /* this router does, when told that it has ended */
  usec_t probed_at;      /* when the last probe ended; 0: never */
  /* Of the probes that this router sends while it may send no requests, as
     the backend server is limited; a period of 0: as often as any.  */
  usec_t spread_period;
  usec_t spread_phase;
  usec_t checked_at; /* when a health check last had another reason than
                        BACKEND_DOWN; 0: never */

  bool may_be_cold;  /* the list is too old to tell; limited as if cold */
  usec_t cold_until; /* when it is warm, as it said itself or is listed */
  usec_t cold_until_at_most; /* when it is warm at the latest, as it has
                                refused connections */
  usec_t needless_until;     /* limits up to then were found to be needless */
  usec_t cold_start;         /* how long a start is cold */
  double cold_rate;   /* requests per second of this router while cold */
  double cold_tokens; /* token bucket of cold_rate: requests allowed now */
  usec_t cold_refilled_at;   /* when cold_tokens was last computed */
  limit_share_t limit_share; /* of notice.limit */
} backend_t;

typedef struct backend_pool backend_pool_t;

typedef struct backend_pool_options
{
  /* Borrowed; must remain valid until backend_pool_set_settings replaces them
     or the pool is freed.  */
  const fleet_settings_t *settings;
  uint64_t seed;
} backend_pool_options_t;

/* Returns a new pool without backend servers; free it with
   backend_pool_free.  */
backend_pool_t *backend_pool_new (const backend_pool_options_t *options);
void backend_pool_free (backend_pool_t *pool);

/* Replaces the settings.  The regions, weights and cold-start rates of the
   backend servers follow at the next backend_pool_update.  */
void backend_pool_set_settings (backend_pool_t *pool,
                                const fleet_settings_t *settings);

/* A router of the fleet.  The routers in the region of a cold backend server
   share the request rate that it can handle.  */
typedef struct pool_router
{
  uint32_t address;
  uint16_t port; /* for requests; 0: not known */
  name_t region;
  bool is_cut_off; /* it reaches no backend server */
} pool_router_t;

typedef struct pool_update
{
  const backend_list_t *list;   /* sorted by id */
  const route_config_t *config; /* NULL: none received yet */
  const name_t *evacuated;      /* failure domains */
  size_t n_evacuated;
  const reopened_domains_t *reopened; /* NULL: none */
  const pool_router_t *routers;
  size_t n_routers;
} pool_update_t;

/* Applies the state received from the directors.  Frees backend servers that
   are no longer listed and have no request or probe in flight.  Borrows UPDATE
   only during the call.  */
void backend_pool_update (backend_pool_t *pool, const pool_update_t *update,
                          usec_t now);

typedef struct pool_query
{
  const char *service;
  const route_t *route; /* restricts the regions; NULL: no restriction */
  const client_account_t *account; /* likewise */
  bool has_object;
  uint64_t object_hash; /* hash of the affinity key; valid if has_object */
  run_time_t run_time;  /* estimate for this request */
  size_t n_excluded;
  uint64_t excluded[POOL_EXCLUDED_MAX]; /* id hashes of backend servers that
                                           must not get this request */
} pool_query_t;

/* Returns the backend server that QUERY's request should go to, or NULL if no
   eligible backend server has capacity.  Changes nothing in the pool but the
   state of its random numbers; report the request with
   backend_pool_request_sent when it is sent.  */
backend_t *backend_pool_pick (backend_pool_t *pool, const pool_query_t *query,
                              usec_t now);

/* Returns whether any backend server is eligible for QUERY at NOW, regardless
   of free capacity, health, rest and cold start.  */
bool backend_pool_has_eligible (const backend_pool_t *pool,
                                const pool_query_t *query, usec_t now);

/* If all backend servers that are eligible for QUERY rest at NOW, or are cold
   or limited and bear no request of this router, returns when the first of
   them may get one again; otherwise 0.  */
usec_t backend_pool_rest_end (const backend_pool_t *pool,
                              const pool_query_t *query, usec_t now);

/* Whether a backend server that is eligible for QUERY gets no request of this
   router at NOW only because others share its limit.  */
bool backend_pool_is_shared_by_others (const backend_pool_t *pool,
                                       const pool_query_t *query, usec_t now);

/* BACKEND has said that it leaves.  From now on it gets no request as long as
   another backend server is eligible.  Returns false if it was known.  */
bool backend_pool_note_leaving (backend_pool_t *pool, backend_t *backend,
                                usec_t now);

/* BACKEND wants no requests for SPAN.  Returns false if it rested before.  */
bool backend_pool_note_rest (backend_pool_t *pool, backend_t *backend,
                             usec_t span, usec_t now);

/* BACKEND has answered a request that was sent at SENT_AT.  Returns true if
   that ended its trial after a rest.  */
bool backend_pool_note_served (backend_pool_t *pool, backend_t *backend,
                               usec_t sent_at, usec_t now);

/* BACKEND makes STATEMENT in a response that arrived at NOW, to a request that
   was sent at SENT_AT.  Returns whether its limit has changed.  */
bool backend_pool_note_limit (backend_pool_t *pool, backend_t *backend,
                              const limit_statement_t *statement,
                              usec_t sent_at, usec_t now);

/* Writes what listed backend servers have said that holds at NOW to NOTICES,
   which has room for N_MAX.  Returns how many; those beyond N_MAX are left
   out.  */
size_t backend_pool_notices (const backend_pool_t *pool,
                             told_notice_t *notices, size_t n_max, usec_t now);

/* Whether BACKEND leaves, by the list or by its own answers.  */
bool backend_is_leaving (const backend_t *backend);

/* Whether the start BOOT (backend_record_boot) of a backend server leaves or
   has left in order, as a list or its own answers have told.  Holds also when
   it is off the list, or a later start of it is listed.  */
bool backend_pool_boot_is_leaving (const backend_pool_t *pool, uint64_t boot);

/* Records that QUERY's request was sent to BACKEND.  Returns true if this
   router sent a request of the same object to BACKEND recently.  Each call
   must be followed by one of backend_pool_request_ended.  */
bool backend_pool_request_sent (backend_pool_t *pool, backend_t *backend,
                                const pool_query_t *query, usec_t now);

typedef struct backend_outcome
{
  backend_result_t result;
  bool may_have_run; /* the request */
  bool not_started;  /* the answer states that the request did not start to
                        run; BACKEND_ANSWERED contradicts that */
  backend_load_t load;
  usec_t latency;
  usec_t expected_latency; /* 0: not known, or no slot was free at the start */
} backend_outcome_t;

/* Whether OUTCOME shows a fault of the backend server.  A refusal does if a
   slot was free.  */
bool backend_outcome_is_failure (const backend_outcome_t *outcome);

/* Whether OUTCOME is that of a run that ended well, as far as is known: its
   duration may go into estimates.  */
bool backend_outcome_shows_run (const backend_outcome_t *outcome);

/* Records the end of a request.  Frees BACKEND if it is no longer listed and
   this was its last request.  */
void backend_pool_request_ended (backend_pool_t *pool, backend_t *backend,
                                 const backend_outcome_t *outcome, usec_t now);

/* Returns the listed backend server with BOOT (backend_record_boot), or
   NULL.  */
backend_t *backend_pool_find_boot (const backend_pool_t *pool, uint64_t boot);

/* Returns a backend server that is due for a health probe and marks it as
   being probed, or returns NULL.  Report the result with
   backend_pool_probe_ended.  */
backend_t *backend_pool_due_probe (backend_pool_t *pool, usec_t now);

/* Marks BACKEND as being probed, whatever its health is.  Returns false if it
   is being probed already, leaves or rests.  Report the result with
   backend_pool_probe_ended.  */
bool backend_pool_begin_probe (backend_t *backend, usec_t now);

/* The same for a health check that no state of BACKEND asks for: a limited one
   gets it in place of a request.  */
bool backend_pool_begin_check (backend_t *backend, usec_t now);

/* Returns a random listed backend server, marked as being probed, or NULL if
   none may be.  */
backend_t *backend_pool_random_check (backend_pool_t *pool, usec_t now);

/* Records the result of a probe.  COLD_LEFT is the rest of the cold start that
   the backend server reported, in usec.  Frees BACKEND if it is no longer
   listed and has no requests in flight.  */
void backend_pool_probe_ended (backend_pool_t *pool, backend_t *backend,
                               bool is_healthy, usec_t cold_left, usec_t now);

/* Applies N load reports that other routers heard, ordered by server.  A
   report that is older than the one known of its backend server is ignored.
   Returns how many limits have changed.  */
size_t backend_pool_hear_loads (backend_pool_t *pool,
                                const load_report_t *reports, size_t n,
                                usec_t now);

/* This router reaches backend servers again, after none were in reach: they
   were not down for what was seen meanwhile.  */
void backend_pool_links_restored (backend_pool_t *pool);

/* BACKEND gets no request until a probe succeeds.  */
void backend_pool_take_out (backend_pool_t *pool, backend_t *backend,
                            usec_t now);

/* BACKEND refused a connection at NOW: no process listens there.  It gets no
   request until a probe succeeds, and then may have just started.  Returns
   when it is warm at the latest, unless it refuses again; 0 if its service has
   no cold start.  */
usec_t backend_pool_connection_refused (backend_pool_t *pool,
                                        backend_t *backend, usec_t now);

/* Applies N reports of backend servers that are cold, or may be.  Returns how
   many of them are newly limited at NOW.  */
size_t backend_pool_hear_colds (backend_pool_t *pool,
                                const cold_report_t *reports, size_t n,
                                usec_t now);

/* BACKEND says at NOW that it is not cold.  Returns for how long it stays
   limited in spite of that, without what was returned before.  */
usec_t backend_pool_needless_limit (backend_t *backend, usec_t now);

/* Returns the estimated number of requests that run or wait at BACKEND, those
   of other routers included.  */
double backend_load_at (const backend_t *backend, usec_t now);

/* Whether BACKEND is believed cold at NOW, or its state is not known, so that
   the rate of its requests is limited.  */
bool backend_is_limited (const backend_t *backend, usec_t now);

/* Slots and mean latency of the healthy backend servers that are eligible for
   a query and may get requests of this router.  */
typedef struct pool_capacity
{
  uint32_t slots;
  usec_t mean_latency; /* 0: not known */
  /* Requests a second that this router may send to those whose limit is less
     than their slots, which are not counted in SLOTS.  */
  double limited_rate;
} pool_capacity_t;

pool_capacity_t backend_pool_capacity (const backend_pool_t *pool,
                                       const pool_query_t *query, usec_t now);

#endif
