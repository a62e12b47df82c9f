#include "router/dispatcher.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "balance/verdict.h"
#include "base/clock.h"
#include "base/log.h"
#include "delivery/retry_budget.h"
#include "platform_words.h"
#include "routing/route_config.h"

enum
{
  TRIES_MAX = 6, /* with those that reached no backend server */
  HEADER_LINE_BYTES = 1024,
  SERVICES_MAX = 64,
  RETRY_PERMILLE = 120, /* of the traffic; the bound allows for all VMs */
  DEADLINE_DEFAULT_SECONDS = 30,
};

/* How soon the waiting are looked at again where nothing else happens.  */
#define WAIT_STEP (20 * USEC_PER_MSEC)
#define TICK_MAX (100 * USEC_PER_MSEC)
/* A backend server stops at the deadline that it was told; its own answer
   then needs the way back.  */
#define DEADLINE_SLACK (60 * USEC_PER_MSEC)
/* A process that has just started mostly follows the directors by then.  */
#define START_RETRY_AFTER (400 * USEC_PER_MSEC)
#define CONNECT_TIMEOUT (400 * USEC_PER_MSEC)
#define PROBE_TIMEOUT (500 * USEC_PER_MSEC)

/* Per service, over all configurations.  */
typedef struct service_state
{
  name_t name;
  retry_budget_t retries;
} service_state_t;

/* How far the requests of one route went round its shares.  */
typedef struct split_state
{
  double *credit; /* a share each */
} split_state_t;

struct dispatcher
{
  dispatcher_options_t options;
  backend_http_t *backends;
  backend_pool_t *pool;
  caller_http_t *port;
  view_t *view;
  list_t waiting;   /* of exchanges, in the order of their turn */
  list_t under_way; /* of exchanges */
  size_t n_exchanges;
  size_t n_services;
  service_state_t services[SERVICES_MAX];
  size_t n_splits; /* routes of the configuration in force */
  split_state_t *splits;
  run_estimate_t runs;
  bool refuses; /* new requests */
};

/* A probe of a backend server that is down; tells them from exchanges.  */
typedef struct probe
{
  bool is_probe;
  backend_t *backend;
  usec_t begun_at;
} probe_t;

/* Whose call it was.  */
typedef struct call_owner
{
  exchange_t *exchange; /* NULL: a probe */
  probe_t probe;
} call_owner_t;

/* --- Ends --------------------------------------------------------------- */

static void
log_end (const exchange_t *exchange, usec_t now)
{
  unsigned int status = exchange->reason == REASON_NONE
                            ? exchange->answer.status
                            : exchange_reason_status (exchange->reason);
  LOG_EVENT (
      LOG_LEVEL_INFO, "request_ended", LOG_S ("id", exchange->id),
      LOG_S ("outcome", exchange_reason_name (exchange->reason)),
      LOG_U ("status", status),
      LOG_S ("route", exchange->route ? exchange->route->name.text : ""),
      LOG_S ("service",
             exchange->query.service ? exchange->query.service : ""),
      LOG_S ("backend", exchange->backend ? exchange->backend->record.id : ""),
      LOG_U ("version", exchange->view && exchange->view->config
                            ? exchange->view->config->version
                            : 0),
      LOG_U ("sent", exchange->n_sent), LOG_U ("tries", exchange->n_tries),
      LOG_I ("usec", now - exchange->begun_at),
      LOG_I ("left_ms", (exchange->deadline - now) / USEC_PER_MSEC),
      LOG_I ("retry_after_ms", exchange->retry_after / USEC_PER_MSEC));
}

static void
end (dispatcher_t *dispatcher, exchange_t *exchange, exchange_reason_t reason)
{
  usec_t now = clock_monotonic ();
  exchange->reason = reason;
  log_end (exchange, now);
  router_metrics_ended (dispatcher->options.metrics,
                        exchange->query.service ? exchange->query.service : "",
                        exchange_reason_name (reason),
                        now - exchange->begun_at);
  list_remove (&exchange->link);
  dispatcher->n_exchanges--;
  exchange->backend = NULL;
  caller_http_end (dispatcher->port, exchange);
}

/* "Not run" only where nothing can have started it.  */
static void
give_up (dispatcher_t *dispatcher, exchange_t *exchange,
         exchange_reason_t not_run, exchange_reason_t may_have_run)
{
  end (dispatcher, exchange, exchange->may_have_run ? may_have_run : not_run);
}

/* --- Sending ------------------------------------------------------------ */

static service_state_t *
service_state (dispatcher_t *dispatcher, const char *name)
{
  for (size_t i = 0; i < dispatcher->n_services; i++)
    if (strcmp (dispatcher->services[i].name.text, name) == 0)
      return &dispatcher->services[i];
  if (dispatcher->n_services == SERVICES_MAX)
    return &dispatcher->services[0];
  service_state_t *state = &dispatcher->services[dispatcher->n_services++];
  snprintf (state->name.text, sizeof state->name.text, "%s", name);
  size_t n_routers = dispatcher->view->n_routers;
  double base = dispatcher->options.settings->bounds.retry_base;
  double burst = base / (double)(n_routers > 0 ? 2 * n_routers : 2);
  retry_budget_init (&state->retries, RETRY_PERMILLE,
                     burst > 1 ? (uint32_t)burst : 1);
  return state;
}

typedef struct header_copy
{
  struct curl_slist *list;
  bool has_accept;
} header_copy_t;

/* Headers that concern one connection only, or that the router sets.  */
static bool
is_forwarded (const char *name)
{
  static const char *const own[] = {
    "Connection",       "Keep-Alive",    "Transfer-Encoding", "Content-Length",
    "Proxy-Connection", "Trailer",       "Upgrade",           "TE",
    "Expect",           HEADER_DEADLINE, HEADER_BACKEND_ID
  };
  for (size_t i = 0; i < sizeof own / sizeof own[0]; i++)
    if (strcasecmp (name, own[i]) == 0)
      return false;
  return true;
}

static void
add_header (header_copy_t *copy, const char *name, const char *value)
{
  size_t size = strlen (name) + strlen (value) + 3;
  char small[HEADER_LINE_BYTES];
  char *line = size <= sizeof small ? small : malloc (size);
  if (!line)
    abort ();
  /* libcurl sends a header without a value only where a ';' ends its name. */
  if (*value)
    snprintf (line, size, "%s: %s", name, value);
  else
    snprintf (line, size, "%s;", name);
  copy->list = curl_slist_append (copy->list, line);
  if (line != small)
    free (line);
}

static void
copy_header (void *closure, const char *name, const char *value)
{
  header_copy_t *copy = closure;
  if (!is_forwarded (name))
    return;
  copy->has_accept = copy->has_accept || strcasecmp (name, "Accept") == 0;
  add_header (copy, name, value);
}

static struct curl_slist *
request_headers (const exchange_t *exchange, const backend_t *backend,
                 usec_t now)
{
  header_copy_t copy = { 0 };
  char left[32];
  caller_http_headers (exchange, copy_header, &copy);
  snprintf (left, sizeof left, "%lld",
            (long long)((exchange->deadline - now) / USEC_PER_MSEC));
  add_header (&copy, HEADER_DEADLINE, left);
  add_header (&copy, HEADER_BACKEND_ID, backend->record.id);
  copy.list = curl_slist_append (copy.list, "Expect:");
  if (!copy.has_accept)
    copy.list = curl_slist_append (copy.list, "Accept:");
  if (exchange->body_bytes > 0
      && !caller_http_header (exchange, "Content-Type"))
    copy.list = curl_slist_append (copy.list, "Content-Type:");
  return copy.list;
}

static void
send_to (dispatcher_t *dispatcher, exchange_t *exchange, backend_t *backend,
         usec_t now)
{
  list_remove (&exchange->link);
  list_push_back (&dispatcher->under_way, &exchange->link);
  exchange->backend = backend;
  exchange->n_tries++;
  exchange->n_sent++;
  exchange->sent_at = now;
  exchange->had_slot
      = backend_load_at (backend, now) + 1 <= backend->record.slots;
  exchange->was_known
      = backend_pool_sent (dispatcher->pool, backend, &exchange->query, now);
  call_owner_t *owner = calloc (1, sizeof *owner);
  if (!owner)
    abort ();
  owner->exchange = exchange;
  const backend_request_t request
      = { .address = backend->record.address,
          .method = exchange->method,
          .target = exchange->target,
          .id = exchange->id,
          .headers = request_headers (exchange, backend, now),
          .body = exchange->body,
          .body_bytes = exchange->body_bytes,
          .timeout = exchange->deadline - now + DEADLINE_SLACK,
          .connect_timeout = CONNECT_TIMEOUT,
          .owner = owner };
  exchange->call = backend_http_call (dispatcher->backends, &request);
  router_metrics_sent (dispatcher->options.metrics, exchange->query.service,
                       exchange->n_tries > 1);
  LOG_EVENT (
      LOG_LEVEL_INFO, "request_sent", LOG_S ("id", exchange->id),
      LOG_S ("backend", backend->record.id),
      LOG_S ("domain", backend->record.domain.text),
      LOG_U ("object", exchange->query.object),
      LOG_U ("known", exchange->was_known),
      LOG_I ("run_ms", exchange->query.run.known / USEC_PER_MSEC),
      LOG_I ("fresh_run_ms", exchange->query.run.fresh / USEC_PER_MSEC),
      LOG_U ("in_flight", backend->in_flight),
      LOG_F ("load", backend_load_at (backend, now)),
      LOG_I ("report_age_ms", (now - backend->others_at) / USEC_PER_MSEC),
      LOG_U ("try", exchange->n_tries),
      LOG_I ("left_ms", (exchange->deadline - now) / USEC_PER_MSEC));
}

/* True where EXCHANGE went to some backend server.  */
static bool
try_to_send (dispatcher_t *dispatcher, exchange_t *exchange, usec_t now)
{
  if (exchange->deadline - now < USEC_PER_MSEC)
    return false;
  exchange->query.run = run_estimate_of (&dispatcher->runs, exchange->route);
  backend_t *backend
      = backend_pool_pick (dispatcher->pool, &exchange->query, now);
  if (!backend)
    return false;
  send_to (dispatcher, exchange, backend, now);
  return true;
}

/* Put EXCHANGE among the waiting: the more urgent first, then as they came. */
static void
wait_for_room (dispatcher_t *dispatcher, exchange_t *exchange)
{
  list_t *before = &dispatcher->waiting;
  for (list_t *link = dispatcher->waiting.prev; link != &dispatcher->waiting;
       link = link->prev)
    {
      const exchange_t *other = LIST_ENTRY (link, exchange_t, link);
      if (other->route->priority <= exchange->route->priority)
        break;
      before = link;
    }
  list_remove (&exchange->link);
  list_push_back (before, &exchange->link);
}

/* How long a request that comes now would wait for its turn.  */
static usec_t
expected_wait (const dispatcher_t *dispatcher, const exchange_t *exchange)
{
  pool_capacity_t capacity
      = backend_pool_capacity (dispatcher->pool, &exchange->query);
  size_t ahead = 0;
  LIST_FOREACH (link, &dispatcher->waiting)
  {
    const exchange_t *other = LIST_ENTRY (link, exchange_t, link);
    if (strcmp (other->query.service, exchange->query.service) == 0
        && other->route->priority <= exchange->route->priority)
      ahead++;
  }
  size_t n_routers = dispatcher->view->n_routers;
  double slots
      = (double)capacity.slots / (double)(n_routers > 0 ? n_routers : 1);
  if (capacity.latency == 0 || slots <= 0)
    return 0;
  return (usec_t)((double)capacity.latency * (double)(ahead + 1) / slots);
}

/* When a caller who was refused may come back.  */
static usec_t
retry_after (const dispatcher_t *dispatcher, const exchange_t *exchange,
             usec_t now)
{
  usec_t wait = expected_wait (dispatcher, exchange);
  usec_t third = (exchange->caller_deadline - now) / 4;
  if (wait < 50 * USEC_PER_MSEC)
    wait = 50 * USEC_PER_MSEC;
  if (exchange->caller_deadline > 0 && wait > third)
    wait = third;
  return wait > 0 ? wait : 0;
}

static void
refuse (dispatcher_t *dispatcher, exchange_t *exchange,
        exchange_reason_t reason, usec_t now)
{
  if (!exchange->may_have_run && exchange->view->config && exchange->route)
    exchange->retry_after = retry_after (dispatcher, exchange, now);
  give_up (dispatcher, exchange, reason, REASON_BROKE_OFF);
}

/* Send it, let it wait, or refuse it.  */
static void
place (dispatcher_t *dispatcher, exchange_t *exchange, usec_t now)
{
  if (try_to_send (dispatcher, exchange, now))
    return;
  if (!backend_pool_serves (dispatcher->pool, &exchange->query))
    {
      refuse (dispatcher, exchange,
              exchange->was_full ? REASON_REFUSED : REASON_NO_BACKEND, now);
      return;
    }
  if (expected_wait (dispatcher, exchange) > exchange->deadline - now)
    {
      refuse (dispatcher, exchange, REASON_OVERLOAD, now);
      return;
    }
  wait_for_room (dispatcher, exchange);
}

/* --- A new request ------------------------------------------------------ */

/* The route's share whose turn it is.  */
static size_t
choose_share (dispatcher_t *dispatcher, const exchange_t *exchange)
{
  const route_config_t *config = exchange->view->config;
  const route_t *route = exchange->route;
  size_t at = (size_t)(route - config->routes);
  if (route->n_shares == 1 || at >= dispatcher->n_splits)
    return 0;
  double *credit = dispatcher->splits[at].credit;
  double sum = 0;
  size_t best = 0;
  for (size_t i = 0; i < route->n_shares; i++)
    {
      credit[i] += route->shares[i].weight;
      sum += route->shares[i].weight;
      if (credit[i] > credit[best])
        best = i;
    }
  credit[best] -= sum;
  return best;
}

static void
read_object (exchange_t *exchange)
{
  const char *key = MHD_lookup_connection_value (
      exchange->connection, MHD_COOKIE_KIND, COOKIE_OBJECT);
  if (!key || !exchange->route->has_affinity)
    return;
  exchange->query.has_object = true;
  exchange->query.object = XXH3_64bits (key, strlen (key));
}

static void
read_deadline (exchange_t *exchange)
{
  const char *text = caller_http_header (exchange, HEADER_DEADLINE);
  usec_t left = text ? strtoll (text, NULL, 10) * USEC_PER_MSEC : 0;
  usec_t timeout = exchange->route->timeout;
  if (left > 0)
    exchange->caller_deadline = exchange->begun_at + left;
  exchange->deadline
      = left > 0
            ? exchange->caller_deadline
            : exchange->begun_at + DEADLINE_DEFAULT_SECONDS * USEC_PER_SEC;
  if (timeout > 0 && exchange->begun_at + timeout < exchange->deadline)
    exchange->deadline = exchange->begun_at + timeout;
}

void
dispatcher_request (dispatcher_t *dispatcher, exchange_t *exchange)
{
  usec_t now = clock_monotonic ();
  const char *id = caller_http_header (exchange, HEADER_REQUEST_ID);
  snprintf (exchange->id, sizeof exchange->id, "%s", id ? id : "");
  list_push_back (&dispatcher->under_way, &exchange->link);
  dispatcher->n_exchanges++;
  exchange->view = view_ref (dispatcher->view);
  if (dispatcher->refuses)
    {
      end (dispatcher, exchange, REASON_STOPPING);
      return;
    }
  const route_config_t *config = exchange->view->config;
  if (!config || !sync_is_settled (dispatcher->options.sync, now))
    {
      exchange->retry_after = START_RETRY_AFTER;
      end (dispatcher, exchange, REASON_NO_CONFIG);
      return;
    }
  exchange->route
      = route_config_match (config, exchange->host, exchange->target);
  if (!exchange->route)
    {
      end (dispatcher, exchange, REASON_NO_ROUTE);
      return;
    }
  exchange->share = choose_share (dispatcher, exchange);
  exchange->query.route = exchange->route;
  exchange->query.service
      = exchange->route->shares[exchange->share].service.text;
  read_object (exchange);
  read_deadline (exchange);
  retry_budget_earn (
      &service_state (dispatcher, exchange->query.service)->retries);
  place (dispatcher, exchange, now);
}

void
dispatcher_gone (dispatcher_t *dispatcher, exchange_t *exchange)
{
  if (exchange->call)
    {
      const backend_outcome_t outcome = { .end = BACKEND_LEFT };
      backend_http_abort (dispatcher->backends, exchange->call);
      exchange->call = NULL;
      backend_pool_ended (dispatcher->pool, exchange->backend, &outcome,
                          clock_monotonic ());
      exchange->backend = NULL;
    }
  end (dispatcher, exchange, REASON_GONE);
}

/* --- Answers ------------------------------------------------------------ */

static answer_facts_t
facts_of (const backend_answer_t *answer)
{
  return (answer_facts_t){ .reached = answer->sent,
                           .whole = answer->whole,
                           .id_matches = answer->id_matches,
                           .is_stamped = answer->is_stamped,
                           .is_encoded = answer->is_encoded,
                           .not_started = answer->not_started,
                           .status = answer->status };
}

/* Whether it may go to another backend server now.  */
static bool
may_try_again (dispatcher_t *dispatcher, const exchange_t *exchange,
               backend_end_t how, bool reached, usec_t now)
{
  bool not_run = how == BACKEND_MISTAKEN || how == BACKEND_FULL || !reached;
  if (exchange->n_tries >= TRIES_MAX || now >= exchange->deadline
      || exchange->n_sent >= exchange->route->attempts
      || exchange->query.n_tried >= POOL_TRIED_MAX)
    return false;
  if (!not_run && !exchange->route->is_idempotent)
    return false;
  return !reached
         || retry_budget_spend (
             &service_state (dispatcher, exchange->query.service)->retries);
}

static void
answer_with (dispatcher_t *dispatcher, exchange_t *exchange,
             backend_answer_t *answer)
{
  exchange->answer = *answer;
  *answer = (backend_answer_t){ 0 };
  end (dispatcher, exchange, REASON_NONE);
}

/* Nothing more is tried: say what is known.  */
static void
conclude (dispatcher_t *dispatcher, exchange_t *exchange, backend_end_t how,
          backend_answer_t *answer, usec_t now)
{
  switch (how)
    {
    case BACKEND_ANSWERED:
    case BACKEND_FAILED:
      answer_with (dispatcher, exchange, answer);
      return;
    case BACKEND_FULL:
    case BACKEND_MISTAKEN:
      refuse (dispatcher, exchange, REASON_REFUSED, now);
      return;
    case BACKEND_BROKE_OFF:
    case BACKEND_LEFT:
      break;
    }
  if (answer->timed_out && exchange->may_have_run)
    end (dispatcher, exchange, REASON_TIMEOUT);
  else
    refuse (dispatcher, exchange, REASON_NO_BACKEND, now);
}

static void serve_waiting (dispatcher_t *dispatcher, usec_t now);

/* How long it was expected to run where it is; 0 where it had to wait.  */
static usec_t
expected_run (const exchange_t *exchange)
{
  const run_span_t *run = &exchange->query.run;
  if (!exchange->had_slot)
    return 0;
  return exchange->was_known ? run->known : run->fresh;
}

static void
on_answer (dispatcher_t *dispatcher, exchange_t *exchange,
           backend_answer_t *answer)
{
  usec_t now = clock_monotonic ();
  backend_t *backend = exchange->backend;
  answer_facts_t facts = facts_of (answer);
  backend_end_t how = verdict_of (&facts);
  bool reached = facts.reached;
  exchange->call = NULL;
  LOG_EVENT (LOG_LEVEL_INFO, "backend_answered", LOG_S ("id", exchange->id),
             LOG_S ("backend", backend->record.id),
             LOG_U ("status", answer->status), LOG_U ("whole", answer->whole),
             LOG_U ("sent", answer->sent),
             LOG_U ("not_started", answer->not_started),
             LOG_U ("id_matches", answer->id_matches),
             LOG_S ("error", answer->whole ? "" : answer->error),
             LOG_I ("usec", now - exchange->sent_at));
  if (!reached)
    exchange->n_sent--;
  if (verdict_may_have_run (&facts))
    exchange->may_have_run = true;
  exchange->was_full = exchange->was_full || how == BACKEND_FULL;
  exchange->query.tried[exchange->query.n_tried++ % POOL_TRIED_MAX]
      = backend->hash;
  if (how == BACKEND_ANSWERED && exchange->had_slot)
    run_estimate_note (&dispatcher->runs, exchange->route, exchange->was_known,
                       now - exchange->sent_at);
  bool again = how != BACKEND_ANSWERED
               && may_try_again (dispatcher, exchange, how, reached, now);
  const backend_outcome_t outcome = { .end = how,
                                      .load = answer->load,
                                      .latency = now - exchange->sent_at,
                                      .expected = expected_run (exchange) };
  backend_pool_ended (dispatcher->pool, backend, &outcome, now);
  if (again)
    {
      exchange->backend = NULL;
      place (dispatcher, exchange, now);
    }
  else
    conclude (dispatcher, exchange, how, answer, now);
  serve_waiting (dispatcher, now);
}

/* --- Probes ------------------------------------------------------------- */

static void
send_probe (dispatcher_t *dispatcher, backend_t *backend, usec_t now)
{
  const route_config_t *config = dispatcher->view->config;
  const service_config_t *service
      = config ? route_config_service (config, backend->record.service.text)
               : NULL;
  call_owner_t *owner = calloc (1, sizeof *owner);
  if (!owner)
    abort ();
  owner->probe = (probe_t){ .backend = backend, .begun_at = now };
  header_copy_t copy = { 0 };
  char host[INET_TEXT_BYTES];
  inet_format (&backend->record.address, host);
  add_header (&copy, "Host", host);
  copy.list = curl_slist_append (copy.list, "Accept:");
  const backend_request_t request
      = { .address = backend->record.address,
          .method = "GET",
          .target = service ? service->health_path : "/",
          .id = "",
          .headers = copy.list,
          .timeout = PROBE_TIMEOUT,
          .connect_timeout = CONNECT_TIMEOUT,
          .owner = owner };
  backend_http_call (dispatcher->backends, &request);
}

static void
on_probed (dispatcher_t *dispatcher, const probe_t *probe,
           const backend_answer_t *answer)
{
  usec_t now = clock_monotonic ();
  backend_t *backend = probe->backend;
  bool is_healthy = answer->whole && answer->status == MHD_HTTP_OK
                    && strcmp (answer->backend_id, backend->record.id) == 0;
  LOG_EVENT (LOG_LEVEL_INFO, "backend_probed",
             LOG_S ("backend", backend->record.id),
             LOG_U ("healthy", is_healthy), LOG_U ("status", answer->status),
             LOG_I ("cold_left_ms", answer->cold_left / USEC_PER_MSEC),
             LOG_U ("failures", backend->failures));
  backend_pool_probed (dispatcher->pool, backend, is_healthy,
                       answer->cold_left, now);
  if (is_healthy)
    serve_waiting (dispatcher, now);
}

/* A call to a backend server has ended.  */
static void
on_done (void *closure, void *owner_closure, backend_answer_t *answer)
{
  dispatcher_t *dispatcher = closure;
  call_owner_t *owner = owner_closure;
  if (owner->exchange)
    on_answer (dispatcher, owner->exchange, answer);
  else
    on_probed (dispatcher, &owner->probe, answer);
  free (owner);
}

/* --- Time --------------------------------------------------------------- */

static void
serve_waiting (dispatcher_t *dispatcher, usec_t now)
{
  LIST_FOREACH (link, &dispatcher->waiting)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, link);
    if (exchange->deadline - now < USEC_PER_MSEC)
      refuse (dispatcher, exchange, REASON_OVERLOAD, now);
    else
      try_to_send (dispatcher, exchange, now);
  }
}

/* What a request under way is told when its time is over.  */
static void
expire (dispatcher_t *dispatcher, usec_t now)
{
  LIST_FOREACH (link, &dispatcher->under_way)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, link);
    if (!exchange->call || now < exchange->deadline + DEADLINE_SLACK)
      continue;
    const backend_outcome_t outcome = { .end = BACKEND_BROKE_OFF,
                                        .latency = now - exchange->sent_at,
                                        .expected = expected_run (exchange) };
    backend_http_abort (dispatcher->backends, exchange->call);
    exchange->call = NULL;
    backend_pool_ended (dispatcher->pool, exchange->backend, &outcome, now);
    exchange->backend = NULL;
    exchange->may_have_run = true;
    end (dispatcher, exchange, REASON_TIMEOUT);
  }
}

usec_t
dispatcher_tick (dispatcher_t *dispatcher, usec_t now)
{
  backend_http_tick (dispatcher->backends, now);
  expire (dispatcher, now);
  serve_waiting (dispatcher, now);
  backend_t *backend;
  while ((backend = backend_pool_due_probe (dispatcher->pool, now)))
    send_probe (dispatcher, backend, now);
  usec_t wait = list_empty (&dispatcher->waiting) ? TICK_MAX : WAIT_STEP;
  usec_t due = backend_http_due (dispatcher->backends) - now;
  return due < wait ? (due > 0 ? due : 0) : wait;
}

void
dispatcher_ready (dispatcher_t *dispatcher, watch_t *watch, unsigned int ready)
{
  backend_http_ready (dispatcher->backends, watch, ready);
}

/* --- What the directors tell -------------------------------------------- */

static void
splits_free (dispatcher_t *dispatcher)
{
  for (size_t i = 0; i < dispatcher->n_splits; i++)
    free (dispatcher->splits[i].credit);
  free (dispatcher->splits);
  dispatcher->splits = NULL;
  dispatcher->n_splits = 0;
}

static void
splits_make (dispatcher_t *dispatcher, const route_config_t *config)
{
  splits_free (dispatcher);
  if (!config)
    return;
  dispatcher->splits = calloc (config->n_routes + 1, sizeof (split_state_t));
  if (!dispatcher->splits)
    abort ();
  dispatcher->n_splits = config->n_routes;
  for (size_t i = 0; i < config->n_routes; i++)
    {
      dispatcher->splits[i].credit
          = calloc (config->routes[i].n_shares + 1, sizeof (double));
      if (!dispatcher->splits[i].credit)
        abort ();
    }
}

void
dispatcher_update (dispatcher_t *dispatcher)
{
  usec_t now = clock_monotonic ();
  view_t *view = sync_view (dispatcher->options.sync);
  if (view->config != dispatcher->view->config)
    splits_make (dispatcher, view->config);
  view_unref (dispatcher->view);
  dispatcher->view = view;
  const pool_update_t update = { .list = &view->list,
                                 .config = view->config,
                                 .evacuated = view->evacuated,
                                 .n_evacuated = view->n_evacuated,
                                 .routers = view->routers,
                                 .n_routers = view->n_routers };
  backend_pool_update (dispatcher->pool, &update, now);
  serve_waiting (dispatcher, now);
}

bool
dispatcher_is_ready (const dispatcher_t *dispatcher, usec_t now)
{
  return dispatcher->view->config && dispatcher->view->list.n_records > 0
         && sync_is_settled (dispatcher->options.sync, now);
}

void
dispatcher_refuse_new (dispatcher_t *dispatcher)
{
  dispatcher->refuses = true;
}

size_t
dispatcher_under_way (const dispatcher_t *dispatcher)
{
  return dispatcher->n_exchanges;
}

void
dispatcher_set_port (dispatcher_t *dispatcher, caller_http_t *port)
{
  dispatcher->port = port;
}

dispatcher_t *
dispatcher_new (const dispatcher_options_t *options)
{
  dispatcher_t *dispatcher = calloc (1, sizeof *dispatcher);
  if (!dispatcher)
    abort ();
  dispatcher->options = *options;
  const backend_http_options_t backends
      = { .loop = options->loop,
          .own_address = options->settings->address,
          .closure = dispatcher,
          .done = on_done };
  dispatcher->backends = backend_http_new (&backends);
  const backend_pool_options_t pool
      = { .settings = options->settings, .seed = options->seed };
  dispatcher->pool = backend_pool_new (&pool);
  dispatcher->view = view_new ();
  list_init (&dispatcher->waiting);
  list_init (&dispatcher->under_way);
  return dispatcher;
}

void
dispatcher_free (dispatcher_t *dispatcher)
{
  backend_http_free (dispatcher->backends);
  backend_pool_free (dispatcher->pool);
  splits_free (dispatcher);
  view_unref (dispatcher->view);
  free (dispatcher);
}
