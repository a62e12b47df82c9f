#include "entry/dispatcher.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/ring.h"
#include "entry/job.h"
#include "entry/job_place.h"

enum
{
  TABLE_INDEX_BITS = 16, /* of a job's id that are its job table index */
  JOBS_MAX = 1 << TABLE_INDEX_BITS,
  CALLER_FDS_MAX = 65536,
  EPOLL_EVENTS_MAX = 64,
  RETRY_SHARE_PERMILLE = 100, /* retries of a service per 1,000 requests */
  RETRY_BURST = 50,
  TICK_USEC = 1000,
  WAIT_BUSY_USEC = 2000,
  WAIT_IDLE_USEC = 100 * 1000,
  QUARANTINE_BROADCAST_USEC = 1000 * 1000, /* the interval */
  IN_FLIGHT_MAX = SLOTS_PER_BACKEND_MAX,
  STOP_WAIT_USEC = 1000 * 1000, /* for replicas to record outcomes */
};

typedef enum
{
  MESSAGE_EXCHANGE,
  MESSAGE_VOTE,
} inbox_message_kind_t;

/* What other threads pass to the dispatcher's thread.  */
typedef struct inbox_message
{
  inbox_message_kind_t kind;
  union
  {
    exchange_t *exchange;
    peer_vote_t *vote;
  } as;
} inbox_message_t;

struct dispatcher
{
  dispatcher_options_t options;
  job_context_t context;
  ring_t *inbox;
  pthread_t thread;
  atomic_bool stop;
  int closed_callers; /* epoll descriptor of the callers' sockets */
  list_t jobs;
  size_t n_jobs;
  job_t *job_table[JOBS_MAX];
  bool has_served; /* the other entry VMs were told that it can serve */
  uint32_t next_index;
  uint64_t serial;
  job_t *jobs_by_fd[CALLER_FDS_MAX]; /* jobs without an outcome, by caller */
  usec_t last_tick_at;
  usec_t last_broadcast_at;
};

/* --- Inbox ------------------------------------------------------------ */

static bool
inbox_push (dispatcher_t *dispatcher, inbox_message_t message)
{
  inbox_message_t *copy = malloc (sizeof *copy);
  if (!copy)
    abort ();
  *copy = message;
  if (!ring_push (dispatcher->inbox, copy))
    {
      free (copy);
      return false;
    }
  backend_client_wake (dispatcher->context.client);
  return true;
}

bool
dispatcher_submit (dispatcher_t *dispatcher, exchange_t *exchange)
{
  return inbox_push (dispatcher, (inbox_message_t){ .kind = MESSAGE_EXCHANGE,
                                                    .as.exchange = exchange });
}

/* A vote is dropped where the inbox is full, as if the network had lost it. */
static void
receive_vote (void *closure, peer_vote_t *vote)
{
  if (!inbox_push (closure,
                   (inbox_message_t){ .kind = MESSAGE_VOTE, .as.vote = vote }))
    free (vote);
}

/* --- Jobs ------------------------------------------------------------- */

static bool
assign_table_index (dispatcher_t *dispatcher, job_t *job)
{
  if (dispatcher->n_jobs
      >= 2 * (size_t)dispatcher->options.settings->limits.requests_in_flight)
    return false;
  for (uint32_t i = 0; i < JOBS_MAX; i++)
    {
      uint32_t index = dispatcher->next_index++ % JOBS_MAX;
      if (dispatcher->job_table[index])
        continue;
      job->table_index = index;
      job->id = (++dispatcher->serial << TABLE_INDEX_BITS) | index;
      dispatcher->job_table[index] = job;
      return true;
    }
  return false;
}

static void
report_outcome (void *closure, exchange_t *exchange)
{
  dispatcher_t *dispatcher = closure;
  int fd = exchange->caller_fd;
  if (fd >= 0 && fd < CALLER_FDS_MAX)
    dispatcher->jobs_by_fd[fd] = NULL;
  dispatcher->options.outcome_ready (dispatcher->options.closure, exchange);
}

static void
refuse_for_load (dispatcher_t *dispatcher, exchange_t *exchange)
{
  exchange->outcome = EXCHANGE_NOT_RUN;
  exchange->reason = REASON_NO_CAPACITY;
  err_set (&exchange->error, ERR_LIMIT, "send it again a little later",
           "too many requests are in progress");
  dispatcher->options.outcome_ready (dispatcher->options.closure, exchange);
  exchange_free (exchange);
}

static void
free_job (dispatcher_t *dispatcher, job_t *job)
{
  list_remove (&job->link);
  dispatcher->n_jobs--;
  dispatcher->job_table[job->table_index] = NULL;
  job_destroy (job);
  free (job);
}

static void
free_if_finished (dispatcher_t *dispatcher, job_t *job)
{
  if (job_is_finished (job))
    free_job (dispatcher, job);
}

static void
start_job (dispatcher_t *dispatcher, exchange_t *exchange)
{
  job_t *job = calloc (1, sizeof *job);
  if (!job)
    abort ();
  if (!assign_table_index (dispatcher, job))
    {
      free (job);
      refuse_for_load (dispatcher, exchange);
      return;
    }
  list_push_back (&dispatcher->jobs, &job->link);
  dispatcher->n_jobs++;
  int fd = exchange->caller_fd;
  if (fd >= 0 && fd < CALLER_FDS_MAX)
    dispatcher->jobs_by_fd[fd] = job;
  job_start (job, &dispatcher->context, exchange, clock_monotonic ());
  free_if_finished (dispatcher, job);
}

static void
handle_vote (dispatcher_t *dispatcher, peer_vote_t *vote)
{
  job_t *job = dispatcher->job_table[vote->job_id & (JOBS_MAX - 1)];
  if (job && job->id == vote->job_id)
    {
      job_on_vote (job, vote, clock_monotonic ());
      free_if_finished (dispatcher, job);
    }
  free (vote);
}

static void
handle_inbox (dispatcher_t *dispatcher)
{
  inbox_message_t *message;
  while ((message = ring_pop (dispatcher->inbox)))
    {
      switch (message->kind)
        {
        case MESSAGE_EXCHANGE:
          start_job (dispatcher, message->as.exchange);
          break;
        case MESSAGE_VOTE:
          handle_vote (dispatcher, message->as.vote);
          break;
        }
      free (message);
    }
}

/* Place the queued jobs for SERVICE in their order while slots are free.  */
static void
serve_queue (dispatcher_t *dispatcher, service_id_t service)
{
  wait_item_t *head;
  while ((head = wait_queue_head (dispatcher->context.wait_queue, service)))
    {
      job_t *job = LIST_ENTRY (head, job_t, wait_item);
      job_place (job, clock_monotonic ());
      bool is_waiting = head->state == WAIT_HEAD;
      free_if_finished (dispatcher, job);
      if (is_waiting)
        break;
    }
}

static bool
before_send (void *closure, void *owner)
{
  (void)closure;
  return job_before_send (owner, clock_monotonic ());
}

static void
on_reply (void *closure, void *owner, backend_reply_t *reply)
{
  job_t *job = owner;
  service_id_t service = job->exchange->service;
  job_on_reply (job, reply, clock_monotonic ());
  free_if_finished (closure, job);
  serve_queue (closure, service);
}

/* Any request that was in flight to the crashed backend server may have caused
   the crash, so all of them are reported.  */
static void
on_backend_crash (void *closure, job_t *job)
{
  dispatcher_t *dispatcher = closure;
  if (job->is_crash_reported)
    return;
  fingerprint_t in_flight[IN_FLIGHT_MAX] = { job->fingerprint };
  size_t n = 1;
  LIST_FOREACH (link, &dispatcher->jobs)
  {
    job_t *other = LIST_ENTRY (link, job_t, link);
    if (!job_is_running_on (other, job->backend) || n == IN_FLIGHT_MAX)
      continue;
    other->is_crash_reported = true;
    in_flight[n++] = other->fingerprint;
  }
  shared_quarantine_on_crash (dispatcher->options.quarantine, job->backend,
                              in_flight, n);
}

/* The descriptor may have been closed and reused since the event, so check
   that the stream has really ended.  */
static bool
is_closed_by_caller (int fd)
{
  char byte;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
handle_closed_callers (dispatcher_t *dispatcher)
{
  struct epoll_event events[EPOLL_EVENTS_MAX];
  int n = epoll_wait (dispatcher->closed_callers, events, EPOLL_EVENTS_MAX, 0);
  for (int i = 0; i < n; i++)
    {
      int fd = events[i].data.fd;
      job_t *job = dispatcher->jobs_by_fd[fd];
      if (!job || !is_closed_by_caller (fd))
        continue;
      job_on_caller_closed (job, clock_monotonic ());
      free_if_finished (dispatcher, job);
    }
}

/* Callers and forwarded requests come once there is a sheet, and what it
   allows to spend is known; if nobody can tell that, they come all the same.
 */
static void
announce_serving (dispatcher_t *dispatcher)
{
  if (dispatcher->has_served
      || !backend_table_has_sheet (dispatcher->context.backends)
      || !spend_share_is_known (dispatcher->options.spend))
    return;
  dispatcher->has_served = true;
  peer_ledger_serve (dispatcher->options.peers);
}

static void
tick (dispatcher_t *dispatcher)
{
  usec_t now = clock_monotonic ();
  if (now - dispatcher->last_tick_at < TICK_USEC)
    return;
  dispatcher->last_tick_at = now;
  backend_table_tick (dispatcher->context.backends, now);
  costs_tick (dispatcher->context.costs);
  announce_serving (dispatcher);
  if (now - dispatcher->last_broadcast_at >= QUARANTINE_BROADCAST_USEC)
    {
      dispatcher->last_broadcast_at = now;
      shared_quarantine_rebroadcast (dispatcher->options.quarantine);
    }
  size_t n_services = dispatcher->options.settings->topology.n_services;
  for (size_t i = 0; i < n_services; i++)
    serve_queue (dispatcher, (service_id_t)i);
  LIST_FOREACH (link, &dispatcher->jobs)
  {
    job_t *job = LIST_ENTRY (link, job_t, link);
    job_tick (job, now);
    free_if_finished (dispatcher, job);
  }
}

static void *
dispatcher_run (void *closure)
{
  dispatcher_t *dispatcher = closure;
  usec_t stop_at = INT64_MAX;
  while (dispatcher->n_jobs > 0 || !atomic_load (&dispatcher->stop))
    {
      usec_t now = clock_monotonic ();
      if (stop_at == INT64_MAX && atomic_load (&dispatcher->stop))
        stop_at = now + STOP_WAIT_USEC;
      if (now >= stop_at)
        break;
      handle_inbox (dispatcher);
      tick (dispatcher);
      usec_t wait
          = list_empty (&dispatcher->jobs) ? WAIT_IDLE_USEC : WAIT_BUSY_USEC;
      backend_client_run (dispatcher->context.client, wait,
                          dispatcher->closed_callers);
      handle_closed_callers (dispatcher);
    }
  LIST_FOREACH (link, &dispatcher->jobs)
  free_job (dispatcher, LIST_ENTRY (link, job_t, link));
  return NULL;
}

/* --- Life ------------------------------------------------------------- */

static bool
open_context (dispatcher_t *dispatcher, err_t *err)
{
  const dispatcher_options_t *options = &dispatcher->options;
  const settings_t *settings = options->settings;
  const backend_table_options_t table_options
      = { .settings = settings,
          .self = options->self,
          .current_sheet = options->current_sheet,
          .peers = options->peers };
  const backend_client_options_t client_options
      = { .address = settings->topology.vms[options->self].address,
          .answer_bytes_max = settings->limits.body_bytes,
          .connection_idle = settings->limits.connection_idle,
          .closure = dispatcher,
          .before_send = before_send,
          .done = on_reply };
  job_context_t *context = &dispatcher->context;
  *context = (job_context_t){ .settings = settings,
                              .self = options->self,
                              .incarnation = options->incarnation,
                              .peers = options->peers,
                              .quarantine = options->quarantine,
                              .closure = dispatcher,
                              .backend_crashed = on_backend_crash,
                              .outcome_ready = report_outcome,
                              .receive_vote = receive_vote };
  context->backends = backend_table_new (&table_options, err);
  if (!context->backends)
    return false;
  size_t n = settings->topology.n_services;
  context->retry_budgets = calloc (n, sizeof *context->retry_budgets);
  if (!context->retry_budgets)
    abort ();
  for (size_t i = 0; i < n; i++)
    retry_budget_init (&context->retry_budgets[i], RETRY_SHARE_PERMILLE,
                       RETRY_BURST);
  context->client = backend_client_new (&client_options);
  context->wait_queue = wait_queue_new (n);
  const costs_options_t costs_options
      = { .settings = settings,
          .self = options->self,
          .current_sheet = options->current_sheet,
          .spend = options->spend };
  context->costs = costs_new (&costs_options);
  return true;
}

dispatcher_t *
dispatcher_start (const dispatcher_options_t *options, err_t *err)
{
  dispatcher_t *dispatcher = calloc (1, sizeof *dispatcher);
  if (!dispatcher)
    abort ();
  dispatcher->options = *options;
  list_init (&dispatcher->jobs);
  if (!open_context (dispatcher, err))
    {
      free (dispatcher);
      return NULL;
    }
  dispatcher->closed_callers = epoll_create1 (EPOLL_CLOEXEC);
  dispatcher->inbox
      = ring_new (8 * (size_t)options->settings->limits.requests_in_flight);
  if (pthread_create (&dispatcher->thread, NULL, dispatcher_run, dispatcher)
      == 0)
    return dispatcher;
  err_set (err, ERR_IO, "raise the limit of threads",
           "can't start the thread that processes requests");
  dispatcher_free (dispatcher);
  return NULL;
}

void
dispatcher_watch_caller (dispatcher_t *dispatcher, int fd)
{
  if (fd < 0 || fd >= CALLER_FDS_MAX)
    return;
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET, .data.fd = fd };
  epoll_ctl (dispatcher->closed_callers, EPOLL_CTL_ADD, fd, &event);
}

void
dispatcher_stop (dispatcher_t *dispatcher)
{
  atomic_store (&dispatcher->stop, true);
  backend_client_wake (dispatcher->context.client);
  pthread_join (dispatcher->thread, NULL);
}

void
dispatcher_free (dispatcher_t *dispatcher)
{
  inbox_message_t *message;
  while ((message = ring_pop (dispatcher->inbox)))
    {
      if (message->kind == MESSAGE_VOTE)
        free (message->as.vote);
      free (message);
    }
  ring_free (dispatcher->inbox);
  close (dispatcher->closed_callers);
  backend_client_free (dispatcher->context.client);
  backend_table_free (dispatcher->context.backends);
  costs_free (dispatcher->context.costs);
  wait_queue_free (dispatcher->context.wait_queue);
  free (dispatcher->context.retry_budgets);
  free (dispatcher);
}
