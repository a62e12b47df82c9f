/* bench-load: callers that look up, send, check every answer and write down
   what they were told.  Exits non-zero on any wrong, short or foreign
   answer.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "../test/fakes/fake_answer.h"
#include "base/clock.h"
#include "load.h"

enum
{
  LOOKUP_ENTRIES_MAX = 4,
  EVENTS_MAX = 256,
  REQUEST_BODY_BYTES = 64,
  WRONG_SHOWN = 10, /* answers described on standard error */
  SWEEP_USEC = 50 * 1000,
  GRACE_USEC = 2 * 1000 * 1000, /* past the deadline, then it is unknown */
};

/* A look-up's answer, as a caller keeps it.  */
typedef struct lookup
{
  usec_t until;
  size_t n_entries;
  size_t entry[LOOKUP_ENTRIES_MAX]; /* indices of targets */
} lookup_t;

typedef enum
{
  CALLER_IDLE,
  CALLER_LOOKUP,
  CALLER_REQUEST,
} caller_phase_t;

typedef struct caller
{
  list_t link; /* in `idle` */
  size_t index;
  caller_phase_t phase;
  load_service_t *service;
  lookup_t lookups[SERVICES_MAX];
  load_conn_t *conns[TARGETS_MAX];
  load_conn_t *conn; /* in use */
  char id[64];
  char ticket[LOAD_TEXT_BYTES];
  char body[REQUEST_BODY_BYTES + 1];
  unsigned tries;
  unsigned moves; /* to another entry VM, with nothing sent */
  size_t home;    /* entry VM to ask for look-ups */
  usec_t arrived;
  usec_t started; /* this phase */
} caller_t;

/* --- Outcomes --------------------------------------------------------- */

static void caller_request (caller_t *caller);

static void
caller_rest (caller_t *caller)
{
  caller->phase = CALLER_IDLE;
  caller->conn = NULL;
  list_push_back (&load.idle, &caller->link);
}

static void
caller_told (caller_t *caller, const char *outcome, int status,
             const char *reason)
{
  load_service_t *service = caller->service;
  usec_t took = clock_monotonic () - caller->started;
  if (load.journal)
    fprintf (load.journal,
             "told caller=%s ticket=%s service=%s method=%s try=%u "
             "outcome=%s status=%d reason=%s us=%lld\n",
             caller->id, caller->ticket, service->name, service->method,
             caller->tries, outcome, status, reason, (long long)took);
  bool unknown = strcmp (outcome, "unknown") == 0;
  if (unknown && caller->ticket[0] && caller->tries <= load.resend)
    {
      caller->home = (caller->home + 1) % load.n_given;
      caller->moves = 0;
      caller_request (caller);
      return;
    }
  if (strcmp (outcome, "answer") == 0)
    {
      service->answered++;
      if ((double)(caller->started - load.begun) >= load.warm_up * 1e6)
        histogram_record (&service->latency, took);
    }
  else if (unknown)
    service->unknown++;
  else if (strcmp (outcome, "not-run") == 0)
    service->not_run++;
  else
    service->wrong++;
  caller_rest (caller);
}

static bool
answer_is_own (const caller_t *caller, const load_answer_t *answer)
{
  const load_service_t *service = caller->service;
  bool has_body = strcmp (service->method, "GET") != 0;
  answer_key_t key
      = { .service = service->name,
          .method = service->method,
          .caller = caller->id,
          .body_hash
          = XXH64 (caller->body, has_body ? strlen (caller->body) : 0, 0),
          .bytes = load.bytes };
  char *expected = malloc (answer_size_max (&key));
  size_t size = answer_fill (expected, &key);
  bool own = answer->status == 200 && strcmp (answer->id, caller->id) == 0
             && answer->body_bytes == size
             && memcmp (answer->body, expected, size) == 0;
  static int shown;
  if (!own && shown++ < WRONG_SHOWN)
    fprintf (stderr,
             "wrong answer: caller=%s status=%d id=%s bytes=%zu "
             "expected=%zu text=%.60s\n",
             caller->id, answer->status, answer->id, answer->body_bytes, size,
             answer->body_bytes > 0 ? answer->body : "");
  free (expected);
  return own;
}

static void
caller_answered (caller_t *caller, const load_answer_t *answer)
{
  const char *outcome = answer->outcome;
  if (load.direct)
    outcome = answer->status == 503 ? "not-run" : "answer";
  if (strcmp (outcome, "not-run") == 0 || strcmp (outcome, "unknown") == 0)
    {
      if (strcmp (answer->id, caller->id) != 0 && !load.direct)
        outcome = "wrong";
      caller_told (caller, outcome, answer->status, answer->reason);
      return;
    }
  bool own = strcmp (outcome, "answer") == 0 && answer_is_own (caller, answer);
  caller_told (caller, own ? "answer" : "wrong", answer->status,
               answer->reason);
}

/* --- Sending ---------------------------------------------------------- */

static bool
caller_send (caller_t *caller, size_t target)
{
  load_conn_t *conn = caller->conns[target];
  if (!conn)
    {
      conn = caller->conns[target] = malloc (sizeof *conn);
      load_conn_init (conn, caller);
    }
  memcpy (conn->out, caller->conn->out, caller->conn->out_bytes);
  conn->out_bytes = caller->conn->out_bytes;
  caller->conn = conn;
  return load_conn_send (conn, load.epoll, &load.targets[target]);
}

/* Where a request's bytes are put together before its target is known.  */
static load_conn_t scratch;

static size_t
caller_target (const caller_t *caller)
{
  const lookup_t *lookup = &caller->lookups[caller->service - load.services];
  if (load.direct)
    return caller->home;
  /* A resend goes elsewhere than the first.  */
  return lookup
      ->entry[(caller->moves + caller->tries - 1) % lookup->n_entries];
}

static void caller_move (caller_t *caller);

static void
caller_write (caller_t *caller)
{
  const load_service_t *service = caller->service;
  bool has_body = strcmp (service->method, "GET") != 0;
  char ticket[LOAD_TEXT_BYTES + 32] = "";
  if (caller->ticket[0])
    snprintf (ticket, sizeof ticket, "Idempotency-Key: %s\r\n",
              caller->ticket);
  size_t length = has_body ? strlen (caller->body) : 0;
  int n
      = snprintf (scratch.out, sizeof scratch.out,
                  "%s /s/%s/q?caller=%s&bytes=%zu%s HTTP/1.1\r\nHost: x\r\n"
                  "X-Request-Id: %s\r\nX-Deadline-Ms: %ld\r\nX-Tenant: %s\r\n"
                  "Content-Length: %zu\r\n%s\r\n%s",
                  service->method, service->name, caller->id, load.bytes,
                  load.query, caller->id, load.deadline_ms, load.tenant,
                  length, ticket, has_body ? caller->body : "");
  scratch.out_bytes = (size_t)n;
}

static void
caller_try (caller_t *caller)
{
  caller->conn = &scratch;
  caller_write (caller);
  if (!caller_send (caller, caller_target (caller)))
    caller_move (caller);
}

/* Nothing was sent: the next entry VM of the look-up may take it.  */
static void
caller_move (caller_t *caller)
{
  const lookup_t *lookup = &caller->lookups[caller->service - load.services];
  if (!load.direct && ++caller->moves < lookup->n_entries)
    {
      load.moved++;
      caller_try (caller);
      return;
    }
  caller_told (caller, "not-run", 0, "not_sent");
}

static void
caller_request (caller_t *caller)
{
  caller->phase = CALLER_REQUEST;
  caller->tries++;
  caller->started = clock_monotonic ();
  caller_try (caller);
}

/* --- Look-ups --------------------------------------------------------- */

static void
lookup_failed (caller_t *caller)
{
  load.lookups_failed++;
  caller->home = (caller->home + 1) % load.n_given;
  snprintf (caller->ticket, sizeof caller->ticket, "%s", "");
  caller_told (caller, "not-run", 0, "no_lookup");
}

static void
caller_lookup (caller_t *caller)
{
  caller->phase = CALLER_LOOKUP;
  caller->started = clock_monotonic ();
  bool ticket = strcmp (caller->service->method, "GET") != 0;
  int n = snprintf (scratch.out, sizeof scratch.out,
                    "GET /v1/lookup?service=%s&block=block-%zu%s "
                    "HTTP/1.1\r\nHost: x\r\n\r\n",
                    caller->service->name, caller->index,
                    ticket ? "&ticket=1" : "");
  scratch.out_bytes = (size_t)n;
  caller->conn = &scratch;
  if (!caller_send (caller, caller->home))
    lookup_failed (caller);
}

static void
lookup_answered (caller_t *caller, load_answer_t *answer)
{
  histogram_record (&load.lookup_latency,
                    clock_monotonic () - caller->started);
  lookup_t *lookup = &caller->lookups[caller->service - load.services];
  char *text = answer->body;
  text[answer->body_bytes] = '\0';
  char *entries = strstr (text, "\"entries\":[");
  char *age = strstr (text, "\"max_age_ms\":");
  char *ticket = strstr (text, "\"ticket\":\"");
  if (answer->status != 200 || !entries || !age)
    {
      lookup_failed (caller);
      return;
    }
  lookup->until
      = caller->started + strtol (age + 13, NULL, 10) * USEC_PER_MSEC;
  lookup->n_entries = 0;
  if (ticket)
    sscanf (ticket, "\"ticket\":\"%255[^\"]", caller->ticket);
  entries += strlen ("\"entries\":[");
  for (char *item = strtok (entries, "\",");
       item && lookup->n_entries < LOOKUP_ENTRIES_MAX && item[0] != ']';
       item = strtok (NULL, "\","))
    {
      size_t target = load_target_add (item);
      if (target < TARGETS_MAX)
        lookup->entry[lookup->n_entries++] = target;
    }
  if (lookup->n_entries == 0)
    lookup_failed (caller);
  else
    caller_request (caller);
}

/* --- Callers ---------------------------------------------------------- */

static load_service_t *
service_draw (void)
{
  uint64_t left = 0;
  for (size_t i = 0; i < load.n_services; i++)
    left += load.services[i].left;
  uint64_t draw = random_below (&load.random, left);
  for (size_t i = 0; i < load.n_services; i++)
    {
      if (draw < load.services[i].left)
        return &load.services[i];
      draw -= load.services[i].left;
    }
  return NULL;
}

static bool
caller_start (usec_t arrived)
{
  load_service_t *service = service_draw ();
  if (!service)
    return false;
  caller_t *caller = LIST_ENTRY (list_pop_front (&load.idle), caller_t, link);
  service->left--;
  service->sent++;
  caller->service = service;
  caller->tries = caller->moves = 0;
  caller->ticket[0] = '\0';
  caller->arrived = arrived;
  snprintf (caller->id, sizeof caller->id, "c%" PRIu64 "-%" PRIu64, load.seed,
            ++load.serial);
  snprintf (caller->body, sizeof caller->body, "%016" PRIx64,
            random_next (&load.random));
  lookup_t *lookup = &caller->lookups[service - load.services];
  bool needs_ticket = strcmp (service->method, "GET") != 0;
  if (!load.direct && (needs_ticket || lookup->until <= clock_monotonic ()))
    caller_lookup (caller);
  else
    caller_request (caller);
  return true;
}

static void
caller_event (load_conn_t *conn, unsigned events)
{
  caller_t *caller = conn->owner;
  load_answer_t answer;
  bool busy = conn->busy;
  load_result_t result = load_conn_event (conn, events, &answer);
  if (!busy || result == LOAD_PENDING)
    return;
  bool lookup = caller->phase == CALLER_LOOKUP;
  if (result == LOAD_ANSWERED && lookup)
    lookup_answered (caller, &answer);
  else if (result == LOAD_ANSWERED)
    caller_answered (caller, &answer);
  else if (lookup)
    lookup_failed (caller);
  else if (!conn->sent)
    caller_move (caller);
  else
    caller_told (caller, "unknown", 0, "cut");
}

static void
sweep_overdue (usec_t now)
{
  usec_t limit = load.deadline_ms * USEC_PER_MSEC + GRACE_USEC;
  for (size_t i = 0; i < load.n_callers; i++)
    {
      caller_t *caller = &load.callers[i];
      if (caller->phase == CALLER_IDLE || now - caller->started < limit)
        continue;
      load_conn_close (caller->conn);
      if (caller->phase == CALLER_LOOKUP)
        lookup_failed (caller);
      else
        caller_told (caller, "unknown", 0, "cut");
    }
}

static bool
callers_all_idle (void)
{
  for (size_t i = 0; i < load.n_callers; i++)
    if (load.callers[i].phase != CALLER_IDLE)
      return false;
  return true;
}

/* Start what has arrived; returns the time until the next arrival.  */
static usec_t
start_arrivals (usec_t now, usec_t *next)
{
  while (!list_empty (&load.idle) && *next <= now)
    {
      if (!caller_start (load.rate > 0 ? *next : now))
        break;
      if (load.rate > 0)
        *next += (usec_t)random_exponential (&load.random,
                                             USEC_PER_SEC / load.rate);
    }
  return *next > now && *next - now < SWEEP_USEC ? *next - now : SWEEP_USEC;
}

static void
run (void)
{
  usec_t next = load.begun;
  usec_t sweep = next;
  for (;;)
    {
      usec_t now = clock_monotonic ();
      if (load.duration > 0
          && (double)(now - load.begun) > load.duration * 1e6)
        for (size_t i = 0; i < load.n_services; i++)
          load.services[i].left = 0;
      usec_t wait = start_arrivals (now, &next);
      struct timespec limit = { .tv_nsec = wait * 1000 };
      struct epoll_event events[EVENTS_MAX];
      int n = epoll_pwait2 (load.epoll, events, EVENTS_MAX, &limit, NULL);
      for (int i = 0; i < n; i++)
        caller_event (events[i].data.ptr, events[i].events);
      if (now - sweep < SWEEP_USEC)
        continue;
      sweep = now;
      sweep_overdue (now);
      if (!service_draw () && callers_all_idle ())
        return;
    }
}

int
main (int argc, char **argv)
{
  load_parse (argc, argv);
  random_seed (&load.random, load.seed);
  list_init (&load.idle);
  load.epoll = epoll_create1 (EPOLL_CLOEXEC);
  load.callers = calloc (load.n_callers, sizeof *load.callers);
  for (size_t i = 0; i < load.n_callers; i++)
    {
      load.callers[i].index = i;
      load.callers[i].home = i % load.n_given;
      list_push_back (&load.idle, &load.callers[i].link);
    }
  load.begun = clock_monotonic ();
  run ();
  double seconds
      = (double)(clock_monotonic () - load.begun) / (double)USEC_PER_SEC;
  uint64_t wrong = load_report (seconds);
  if (load.journal)
    fclose (load.journal);
  return wrong ? EXIT_WRONG : EXIT_SUCCESS;
}
