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
  SLOT_BITS = 16, /* of a job's number that are its place in the table */
  JOBS_MAX = 1 << SLOT_BITS,
  FDS_MAX = 65536,
  GONE_EVENTS_MAX = 64,
  RETRY_SHARE_PERMILLE = 100,
  RETRY_BURST = 50,
  TICK_USEC = 1000,
  WAIT_BUSY_USEC = 2000,
  WAIT_IDLE_USEC = 100 * 1000,
  REPEAT_USEC = 1000 * 1000, /* between messages of the quarantine */
  IN_FLIGHT_MAX = SLOTS_PER_BACKEND_MAX,
  STOP_WAIT_USEC = 1000 * 1000, /* for outcomes to be recorded */
};

typedef enum
{
  MAIL_EXCHANGE,
  MAIL_VOTE,
} mail_kind_t;

/* What other threads hand over.  */
typedef struct mail
{
  mail_kind_t kind;
  union
  {
    exchange_t *exchange;
    peer_vote_t *vote;
  } as;
} mail_t;

struct dispatcher
{
  dispatcher_options_t options;
  job_world_t world;
  ring_t *ring;
  pthread_t thread;
  atomic_bool stop;
  int gone; /* epoll: callers that closed */
  list_t jobs;
  size_t n_jobs;
  job_t *table[JOBS_MAX];
  uint32_t next_slot;
  uint64_t serial;
  job_t *by_fd[FDS_MAX]; /* not yet told */
  usec_t ticked_at;
  usec_t repeated_at;
};

/* --- Mail ------------------------------------------------------------- */

static bool
post (dispatcher_t *dispatcher, mail_t mail)
{
  mail_t *copy = malloc (sizeof *copy);
  if (!copy)
    abort ();
  *copy = mail;
  if (!ring_push (dispatcher->ring, copy))
    {
      free (copy);
      return false;
    }
  backend_client_wake (dispatcher->world.client);
  return true;
}

bool
dispatcher_submit (dispatcher_t *dispatcher, exchange_t *exchange)
{
  return post (dispatcher,
               (mail_t){ .kind = MAIL_EXCHANGE, .as.exchange = exchange });
}

/* A vote that finds no room is lost, as on the network.  */
static void
receive_vote (void *closure, peer_vote_t *vote)
{
  if (!post (closure, (mail_t){ .kind = MAIL_VOTE, .as.vote = vote }))
    free (vote);
}

/* --- Jobs ------------------------------------------------------------- */

static bool
take_slot (dispatcher_t *dispatcher, job_t *job)
{
  if (dispatcher->n_jobs
      >= 2 * (size_t)dispatcher->options.settings->limits.requests_in_flight)
    return false;
  for (uint32_t i = 0; i < JOBS_MAX; i++)
    {
      uint32_t slot = dispatcher->next_slot++ % JOBS_MAX;
      if (dispatcher->table[slot])
        continue;
      job->slot = slot;
      job->number = (++dispatcher->serial << SLOT_BITS) | slot;
      dispatcher->table[slot] = job;
      return true;
    }
  return false;
}

static void
told (void *closure, exchange_t *exchange)
{
  dispatcher_t *dispatcher = closure;
  int fd = exchange->caller_fd;
  if (fd >= 0 && fd < FDS_MAX)
    dispatcher->by_fd[fd] = NULL;
  dispatcher->options.told (dispatcher->options.closure, exchange);
}

static void
refuse_full (dispatcher_t *dispatcher, exchange_t *exchange)
{
  exchange->outcome = EXCHANGE_NOT_RUN;
  exchange->why = REASON_NO_CAPACITY;
  err_set (&exchange->reason, ERR_LIMIT, "send it again a little later",
           "too many requests are under way");
  dispatcher->options.told (dispatcher->options.closure, exchange);
  exchange_free (exchange);
}

static void
drop_job (dispatcher_t *dispatcher, job_t *job)
{
  list_remove (&job->link);
  dispatcher->n_jobs--;
  dispatcher->table[job->slot] = NULL;
  job_end (job);
  free (job);
}

static void
drop_if_over (dispatcher_t *dispatcher, job_t *job)
{
  if (job_is_over (job))
    drop_job (dispatcher, job);
}

static void
begin (dispatcher_t *dispatcher, exchange_t *exchange)
{
  job_t *job = calloc (1, sizeof *job);
  if (!job)
    abort ();
  if (!take_slot (dispatcher, job))
    {
      free (job);
      refuse_full (dispatcher, exchange);
      return;
    }
  list_push_back (&dispatcher->jobs, &job->link);
  dispatcher->n_jobs++;
  int fd = exchange->caller_fd;
  if (fd >= 0 && fd < FDS_MAX)
    dispatcher->by_fd[fd] = job;
  job_start (job, &dispatcher->world, exchange, clock_monotonic ());
  drop_if_over (dispatcher, job);
}

static void
take_vote (dispatcher_t *dispatcher, peer_vote_t *vote)
{
  job_t *job = dispatcher->table[vote->claimant & (JOBS_MAX - 1)];
  if (job && job->number == vote->claimant)
    {
      job_on_vote (job, vote, clock_monotonic ());
      drop_if_over (dispatcher, job);
    }
  free (vote);
}

static void
take_mail (dispatcher_t *dispatcher)
{
  mail_t *mail;
  while ((mail = ring_pop (dispatcher->ring)))
    {
      switch (mail->kind)
        {
        case MAIL_EXCHANGE:
          begin (dispatcher, mail->as.exchange);
          break;
        case MAIL_VOTE:
          take_vote (dispatcher, mail->as.vote);
          break;
        }
      free (mail);
    }
}

/* Place those who wait for SERVICE, in turn, as far as slots are free.  */
static void
serve_line (dispatcher_t *dispatcher, service_id_t service)
{
  wait_item_t *first;
  while ((first = wait_line_first (dispatcher->world.line, service)))
    {
      job_t *job = LIST_ENTRY (first, job_t, wait);
      job_place (job, clock_monotonic ());
      bool waits = first->place == WAIT_FIRST;
      drop_if_over (dispatcher, job);
      if (waits)
        break;
    }
}

static bool
on_leaving (void *closure, void *owner)
{
  (void)closure;
  return job_on_leaving (owner, clock_monotonic ());
}

static void
on_reply (void *closure, void *owner, backend_reply_t *reply)
{
  job_t *job = owner;
  service_id_t service = job->exchange->service;
  job_on_reply (job, reply, clock_monotonic ());
  drop_if_over (closure, job);
  serve_line (closure, service);
}

/* All that was on the crashed backend server may have been the cause.  */
static void
crashed (void *closure, job_t *job)
{
  dispatcher_t *dispatcher = closure;
  if (job->crash_noted)
    return;
  fingerprint_t in_flight[IN_FLIGHT_MAX] = { job->fingerprint };
  size_t n = 1;
  LIST_FOREACH (link, &dispatcher->jobs)
  {
    job_t *other = LIST_ENTRY (link, job_t, link);
    if (!job_is_on (other, job->backend) || n == IN_FLIGHT_MAX)
      continue;
    other->crash_noted = true;
    in_flight[n++] = other->fingerprint;
  }
  shared_quarantine_on_crash (dispatcher->options.quarantine, job->backend,
                              in_flight, n);
}

/* A descriptor may have been closed and used again since the event, so the
   end of the stream is looked for once more.  */
static bool
has_ended (int fd)
{
  char byte;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
take_gone (dispatcher_t *dispatcher)
{
  struct epoll_event events[GONE_EVENTS_MAX];
  int n = epoll_wait (dispatcher->gone, events, GONE_EVENTS_MAX, 0);
  for (int i = 0; i < n; i++)
    {
      int fd = events[i].data.fd;
      job_t *job = dispatcher->by_fd[fd];
      if (!job || !has_ended (fd))
        continue;
      job_on_caller_gone (job, clock_monotonic ());
      drop_if_over (dispatcher, job);
    }
}

static void
tick (dispatcher_t *dispatcher)
{
  usec_t now = clock_monotonic ();
  if (now - dispatcher->ticked_at < TICK_USEC)
    return;
  dispatcher->ticked_at = now;
  backend_table_tick (dispatcher->world.table, now);
  costs_tick (dispatcher->world.costs);
  if (now - dispatcher->repeated_at >= REPEAT_USEC)
    {
      dispatcher->repeated_at = now;
      shared_quarantine_repeat (dispatcher->options.quarantine);
    }
  size_t n_services = dispatcher->options.settings->topology.n_services;
  for (size_t i = 0; i < n_services; i++)
    serve_line (dispatcher, (service_id_t)i);
  LIST_FOREACH (link, &dispatcher->jobs)
  {
    job_t *job = LIST_ENTRY (link, job_t, link);
    job_tick (job, now);
    drop_if_over (dispatcher, job);
  }
}

static void *
dispatcher_run (void *closure)
{
  dispatcher_t *dispatcher = closure;
  usec_t until = INT64_MAX;
  while (dispatcher->n_jobs > 0 || !atomic_load (&dispatcher->stop))
    {
      usec_t now = clock_monotonic ();
      if (until == INT64_MAX && atomic_load (&dispatcher->stop))
        until = now + STOP_WAIT_USEC;
      if (now >= until)
        break;
      take_mail (dispatcher);
      tick (dispatcher);
      usec_t wait
          = list_empty (&dispatcher->jobs) ? WAIT_IDLE_USEC : WAIT_BUSY_USEC;
      backend_client_run (dispatcher->world.client, wait, dispatcher->gone);
      take_gone (dispatcher);
    }
  LIST_FOREACH (link, &dispatcher->jobs)
  drop_job (dispatcher, LIST_ENTRY (link, job_t, link));
  return NULL;
}

/* --- Life ------------------------------------------------------------- */

static bool
open_world (dispatcher_t *dispatcher, err_t *err)
{
  const dispatcher_options_t *options = &dispatcher->options;
  const settings_t *settings = options->settings;
  const backend_table_options_t table_options = { .settings = settings,
                                                  .self = options->self,
                                                  .routes = options->routes,
                                                  .peers = options->peers };
  const backend_client_options_t client_options
      = { .address = settings->topology.vms[options->self].address,
          .answer_bytes_max = settings->limits.body_bytes,
          .connection_idle = settings->limits.connection_idle,
          .closure = dispatcher,
          .leaving = on_leaving,
          .done = on_reply };
  job_world_t *world = &dispatcher->world;
  *world = (job_world_t){ .settings = settings,
                          .self = options->self,
                          .incarnation = options->incarnation,
                          .peers = options->peers,
                          .quarantine = options->quarantine,
                          .closure = dispatcher,
                          .crashed = crashed,
                          .told = told,
                          .receive_vote = receive_vote };
  world->table = backend_table_new (&table_options, err);
  if (!world->table)
    return false;
  size_t n = settings->topology.n_services;
  world->budgets = calloc (n, sizeof *world->budgets);
  if (!world->budgets)
    abort ();
  for (size_t i = 0; i < n; i++)
    retry_budget_init (&world->budgets[i], RETRY_SHARE_PERMILLE, RETRY_BURST);
  world->client = backend_client_new (&client_options);
  world->line = wait_line_new (n);
  const costs_options_t costs_options = { .settings = settings,
                                          .self = options->self,
                                          .routes = options->routes,
                                          .spend = options->spend };
  world->costs = costs_new (&costs_options);
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
  if (!open_world (dispatcher, err))
    {
      free (dispatcher);
      return NULL;
    }
  dispatcher->gone = epoll_create1 (EPOLL_CLOEXEC);
  dispatcher->ring
      = ring_new (8 * (size_t)options->settings->limits.requests_in_flight);
  if (pthread_create (&dispatcher->thread, NULL, dispatcher_run, dispatcher)
      == 0)
    return dispatcher;
  err_set (err, ERR_IO, "raise the limit of threads",
           "no thread for requests");
  dispatcher_free (dispatcher);
  return NULL;
}

void
dispatcher_watch (dispatcher_t *dispatcher, int fd)
{
  if (fd < 0 || fd >= FDS_MAX)
    return;
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET, .data.fd = fd };
  epoll_ctl (dispatcher->gone, EPOLL_CTL_ADD, fd, &event);
}

void
dispatcher_stop (dispatcher_t *dispatcher)
{
  atomic_store (&dispatcher->stop, true);
  backend_client_wake (dispatcher->world.client);
  pthread_join (dispatcher->thread, NULL);
}

void
dispatcher_free (dispatcher_t *dispatcher)
{
  mail_t *mail;
  while ((mail = ring_pop (dispatcher->ring)))
    {
      if (mail->kind == MAIL_VOTE)
        free (mail->as.vote);
      free (mail);
    }
  ring_free (dispatcher->ring);
  close (dispatcher->gone);
  backend_client_free (dispatcher->world.client);
  backend_table_free (dispatcher->world.table);
  costs_free (dispatcher->world.costs);
  wait_line_free (dispatcher->world.line);
  free (dispatcher->world.budgets);
  free (dispatcher);
}
