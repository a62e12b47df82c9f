/* dispatcher_internal: the state of the dispatcher, and the functions that its
   source files call in each other.  */

#ifndef ROUTER_DISPATCHER_INTERNAL_H
#define ROUTER_DISPATCHER_INTERNAL_H

#include "balance/answer_class.h"
#include "balance/backend_reach.h"
#include "balance/backend_stutter.h"
#include "balance/carrier_choice.h"
#include "balance/queue_wait.h"
#include "balance/retry_share.h"
#include "fleet/abandoned_runs.h"
#include "fleet/crash_table.h"
#include "fleet/recent_answers.h"
#include "quota/limiter.h"
#include "router/dispatcher.h"
#include "routing/route_split.h"

enum
{
  HELD_ENDS_MAX = 256,
  SERVICES_MAX = 256, /* requests to further ones are not retried */
};

/* A backend server stops a request at the deadline that it was given; its
   response then still has to travel back.  */
#define RESPONSE_TRAVEL_TIME (60 * USEC_PER_MSEC)
/* Setting up a connection across regions takes 40 ms; a lost packet is
   retransmitted after 200 ms.  */
#define CONNECT_TIMEOUT (400 * USEC_PER_MSEC)

/* State of a service; it is kept when the configuration changes.  */
typedef struct service_state
{
  name_t name;
  retry_share_t retries;
  queue_returns_t returns; /* of callers that were refused */
  usec_t in_time_sent_at;  /* when a request that could be answered within its
                              target latency was last sent; 0: none */
} service_state_t;

/* A start of a backend server that seems to have ended.  */
typedef struct held_end
{
  uint64_t boot;
  bool was_refused; /* a connection, as no process listens there */
} held_end_t;

struct dispatcher
{
  dispatcher_options_t options;
  backend_http_t *backends;
  backend_pool_t *pool;
  fleet_snapshot_t *snapshot;
  list_t queue;  /* of exchanges that wait for room, in the order of sending */
  list_t active; /* of exchanges that are not queued */
  list_t probes; /* of the owners of health checks that are under way */
  size_t n_services;
  service_state_t services[SERVICES_MAX];
  service_state_t unlisted_service; /* its retries are never refilled */
  route_split_t *split;             /* for the configuration of SNAPSHOT */
  run_estimate_t run_estimates;
  queue_wait_t queue_wait;
  random_state_t random;
  bool is_shutting_down;
  bool is_finishing;          /* all requests are refused */
  usec_t shutdown_started_at; /* monotonic; valid if is_shutting_down */
  crash_table_t crashes;      /* that this router has seen */
  recent_answers_t answers;   /* that this router has seen */
  abandoned_runs_t abandoned; /* that this router has given up on */
  usec_t next_crash_expiry_at;
  backend_stutters_t stutters;
  backend_reach_t reach;
  size_t n_held_ends; /* until it is clear whether the links are cut */
  held_end_t held_ends[HELD_ENDS_MAX];
  carrier_choice_t carriers;
  usec_t next_waiting_at; /* when calls in flight are looked at for it */
  limiter_t limiter;      /* of the client accounts' quotas */
  usec_t next_quota_expiry_at;
  load_table_t heard_loads; /* of backend servers, to be told to directors */
  bool shares_machines;     /* some backend server tells its pace */
  cold_table_t seen_colds;  /* backend servers, to be told to directors */
  usec_t next_cold_expiry_at;
  usec_t next_hurried_pull_at; /* no earlier one than regular before */
};

/* dispatcher_finish.c */
/* Finish EXCHANGE for REASON: log and count it, and send the response.  */
void dispatcher_finish (dispatcher_t *dispatcher, exchange_t *exchange,
                        exchange_reason_t reason);
/* Finish EXCHANGE for REASON, which says that it has not run, if no attempt
   can have started it; otherwise as REASON_BROKE_OFF, outcome unknown.  */
void dispatcher_refuse (dispatcher_t *dispatcher, exchange_t *exchange,
                        exchange_reason_t reason, usec_t now);

/* Report OUTCOME of EXCHANGE's call for its backend server, which EXCHANGE
   does not refer to any more, since the pool may free it.  */
void dispatcher_release_backend (dispatcher_t *dispatcher,
                                 exchange_t *exchange,
                                 const backend_outcome_t *outcome, usec_t now);
/* Abort EXCHANGE's call, and report OUTCOME for its backend server.  */
void dispatcher_abort (dispatcher_t *dispatcher, exchange_t *exchange,
                       const backend_outcome_t *outcome, usec_t now);

/* dispatcher_send.c */
/* The retry budget of EXCHANGE's service.  */
retry_share_t *dispatcher_retry_budget (dispatcher_t *dispatcher,
                                        const exchange_t *exchange);
/* Send EXCHANGE to a backend server, queue it, or refuse it.  */
void dispatcher_send_or_queue (dispatcher_t *dispatcher, exchange_t *exchange,
                               usec_t now);
/* EXCHANGE is sent now: it must end before the process does.  */
void dispatcher_bound_deadline (const dispatcher_t *dispatcher,
                                exchange_t *exchange);
/* What EXCHANGE would have to expect if it were queued now; its `wait` is 0 if
   there is no estimate.  */
queue_forecast_t dispatcher_queue_forecast (const dispatcher_t *dispatcher,
                                            const exchange_t *exchange,
                                            usec_t now);
/* After which time a caller of EXCHANGE's service that is refused finds room;
   at most MOST.  */
usec_t dispatcher_return_time (dispatcher_t *dispatcher,
                               const exchange_t *exchange, usec_t most,
                               usec_t now);
/* Send the queued requests that a backend server has room for, and refuse
   those whose deadline has come.  */
void dispatcher_serve_queue (dispatcher_t *dispatcher, usec_t now);
/* Abort the calls that are still in flight RESPONSE_TRAVEL_TIME after their
   deadline.  */
void dispatcher_expire_calls (dispatcher_t *dispatcher, usec_t now);

/* dispatcher_response.c */
/* EXCHANGE's call has ended with RESPONSE: retry or finish EXCHANGE.  */
void dispatcher_call_ended (dispatcher_t *dispatcher, exchange_t *exchange,
                            backend_response_t *response);
/* How long EXCHANGE was expected to run at its backend server; 0 if no slot
   was free there, so that it had to wait.  */
usec_t dispatcher_expected_run_time (const exchange_t *exchange);

answer_facts_t dispatcher_response_facts (const backend_response_t *response);
/* Forward RESPONSE, whose contents move to EXCHANGE.  */
void dispatcher_forward_response (dispatcher_t *dispatcher,
                                  exchange_t *exchange,
                                  backend_response_t *response);

/* dispatcher_carry.c */
/* If no backend server is in reach, send EXCHANGE to another router, or refuse
   it if none can carry it.  Returns false if neither was done.  */
bool dispatcher_carry (dispatcher_t *dispatcher, exchange_t *exchange,
                       usec_t now);
/* EXCHANGE's call to another router has ended with RESPONSE.  */
void dispatcher_carry_ended (dispatcher_t *dispatcher, exchange_t *exchange,
                             backend_response_t *response);

/* dispatcher_crashes.c */
/* Whether EXCHANGE, which was cut off by a crash, must not be sent to a
   further backend server, because requests like it were cut off before.  */
bool dispatcher_may_be_poison (dispatcher_t *dispatcher, exchange_t *exchange,
                               usec_t now);
/* Refuse EXCHANGE if requests like it are quarantined or held back because
   they crashed backend servers.  Returns true if it was refused.  */
bool dispatcher_refuse_suspect (dispatcher_t *dispatcher, exchange_t *exchange,
                                usec_t now);
/* Record what RESPONSE shows of EXCHANGE's request, which ran to its end if
   IS_COMPLETE_RUN is true, and of its backend server.  */
void dispatcher_crash_evidence (dispatcher_t *dispatcher, exchange_t *exchange,
                                bool is_complete_run,
                                const backend_response_t *response,
                                usec_t now);
/* Record what RESPONSE to PROBE, a health check, shows of its backend
   server.  */
void dispatcher_crash_evidence_of_probe (dispatcher_t *dispatcher,
                                         const call_owner_t *probe,
                                         const backend_response_t *response,
                                         usec_t now);
/* Record which backend servers the new snapshot does not list any more.  */
void dispatcher_crash_evidence_of_list (dispatcher_t *dispatcher, usec_t now);
/* Requests with FINGERPRINT were running at the backend server that CRASH
   tells of, which has ended.  ID is of one of them, or "".  */
void dispatcher_add_suspect (dispatcher_t *dispatcher,
                             fingerprint_t fingerprint, const char *id,
                             const crash_t *crash, usec_t now);
/* The backend server BOOT has ended, as EVIDENCE shows at NOW.  */
void dispatcher_confirm_end (dispatcher_t *dispatcher, uint64_t boot,
                             const char *evidence, usec_t now);
/* Requests of the same caller with the same content have the same fingerprint,
   whatever their request ids and deadlines are.  */
fingerprint_t dispatcher_fingerprint (exchange_t *exchange);
/* Forget the crashes of requests that an operator has released.  */
void dispatcher_apply_releases (dispatcher_t *dispatcher);
/* Forget old crashes when due.  */
void dispatcher_expire_crashes (dispatcher_t *dispatcher, usec_t now);

/* dispatcher_abandoned.c */
/* EXCHANGE's call was sent to its backend server and ends without an answer,
   though its run may go on.  */
void dispatcher_abandon_run (dispatcher_t *dispatcher, exchange_t *exchange,
                             usec_t now);
/* The backend server BOOT has ended: what may have been running there, given
   up on, was there at its end.  */
void dispatcher_suspect_abandoned (dispatcher_t *dispatcher, uint64_t boot,
                                   usec_t now);
/* Ask backend servers for their health, where requests may be running that
   were given up on.  */
void dispatcher_check_abandoned (dispatcher_t *dispatcher, usec_t now);

/* dispatcher_accounts.c */
/* Find the client account of EXCHANGE's caller, if the configuration names
   accounts, and count the request against its quota.  Returns false if it was
   refused.  */
bool dispatcher_check_account (dispatcher_t *dispatcher, exchange_t *exchange,
                               usec_t now);
/* EXCHANGE ends for REASON: if it has not run, it does not count against its
   account's quota.  */
void dispatcher_settle_quota (dispatcher_t *dispatcher,
                              const exchange_t *exchange,
                              exchange_reason_t reason);
/* Forget accounts that were not asked for, when due.  */
void dispatcher_expire_quotas (dispatcher_t *dispatcher, usec_t now);

/* dispatcher_notices.c */
/* Record what the backend server says of itself in RESPONSE, of class RESULT,
   to EXCHANGE.  */
void dispatcher_read_notices (dispatcher_t *dispatcher,
                              const exchange_t *exchange,
                              backend_result_t result,
                              const backend_response_t *response, usec_t now);
/* The same for RESPONSE to a health check of BACKEND.  */
void dispatcher_read_probe_notices (dispatcher_t *dispatcher,
                                    backend_t *backend,
                                    const backend_response_t *response,
                                    usec_t now);

/* dispatcher_load.c */
/* Keep what OUTCOME tells of BACKEND's load for the other routers, if the
   settings or the backend servers ask for that.  */
void dispatcher_hear_load (dispatcher_t *dispatcher, const backend_t *backend,
                           const backend_outcome_t *outcome, usec_t now);

/* dispatcher_cold.c */
/* Record what RESPONSE, to a request or a health check, shows of the start of
   BACKEND: that it has ended, or how long it stays cold.  */
void dispatcher_cold_evidence (dispatcher_t *dispatcher, backend_t *backend,
                               const backend_response_t *response, usec_t now);
/* BACKEND refused a connection, as it has ended.  */
void dispatcher_connection_refused (dispatcher_t *dispatcher,
                                    backend_t *backend, usec_t now);
/* Tell directors what was just seen earlier than with the regular pull.  */
void dispatcher_hurry_pull (dispatcher_t *dispatcher, usec_t now);
/* Forget what has ended, when due.  */
void dispatcher_expire_colds (dispatcher_t *dispatcher, usec_t now);

/* dispatcher_reach.c */
/* Record what RESPONSE to OWNER's call shows of the links to BACKEND.  */
void dispatcher_reach_evidence (dispatcher_t *dispatcher,
                                const call_owner_t *owner,
                                const backend_t *backend,
                                const backend_response_t *response,
                                usec_t now);
/* BOOT's backend server can't be reached.  Returns whether that shows that it
   has ended; otherwise the links may be cut, and the end is confirmed, as
   dispatcher_confirm_end does and, if WAS_REFUSED is true, as
   dispatcher_connection_refused, once it is clear that they are not.  */
bool dispatcher_shows_end (dispatcher_t *dispatcher, uint64_t boot,
                           bool was_refused);
/* Ask backend servers for their health if it is doubtful whether any is
   reached.  */
void dispatcher_check_reach (dispatcher_t *dispatcher, usec_t now);

/* dispatcher_stutter.c */
/* Whether each request to BACKEND needs a new connection at NOW.  */
bool dispatcher_stutters (const dispatcher_t *dispatcher,
                          const backend_t *backend, usec_t now);
/* Record that RESPONSE to EXCHANGE belongs to an earlier request.  */
void dispatcher_stutter_seen_in_response (dispatcher_t *dispatcher,
                                          const exchange_t *exchange,
                                          const backend_response_t *response,
                                          usec_t now);
/* Record N_BYTES that belong to no request, seen in PLACE on a connection used
   for USE.  */
void dispatcher_extra_bytes (dispatcher_t *dispatcher,
                             const connection_use_t *use, extra_place_t place,
                             size_t n_bytes);
/* A request for USE met a connection that has carried its id before, and gets
   another one.  */
void dispatcher_id_sent_again (dispatcher_t *dispatcher,
                               const connection_use_t *use);
/* Forget the backend servers that have stopped stuttering by NOW.  */
void dispatcher_expire_stutters (dispatcher_t *dispatcher, usec_t now);

/* dispatcher_probe.c */
/* Send a health check to BACKEND, which is marked as being probed.  */
void dispatcher_send_probe (dispatcher_t *dispatcher, backend_t *backend);
/* The same, over a new connection, as one of a round of backend_reach.  */
void dispatcher_send_reach_check (dispatcher_t *dispatcher,
                                  backend_t *backend);
/* Send health checks to the backend servers that are down and due for one.  */
void dispatcher_send_probes (dispatcher_t *dispatcher, usec_t now);
void dispatcher_free_probe (call_owner_t *owner);
/* OWNER's health check has ended with RESPONSE.  */
void dispatcher_probe_ended (dispatcher_t *dispatcher,
                             const call_owner_t *owner,
                             const backend_response_t *response);

#endif
