/* bench-load: callers that look up, send, check every answer and write down
   what they were told.  Exits non-zero on any wrong, short or foreign
   answer.  */

#include <argp.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "../test/fakes/fake_answer.h"
#include "base/clock.h"
#include "base/histogram.h"
#include "base/list.h"
#include "base/random.h"
#include "load_http.h"

enum
{
  TARGETS_MAX = 64,
  SERVICES_MAX = 16,
  LOOKUP_ENTRIES_MAX = 4,
  EVENTS_MAX = 256,
  REQUEST_BODY_BYTES = 64,
  SWEEP_USEC = 50 * 1000,
  GRACE_USEC = 2 * 1000 * 1000, /* past the deadline, then it is unknown */
  EXIT_WRONG = 1,
  EXIT_BAD_USAGE = 2,
};

typedef struct load_service
{
  char name[48];
  char method[8];
  char request_class[48];
  uint64_t left;
  uint64_t sent, answered, not_run, unknown, wrong;
  histogram_t latency;
} load_service_t;

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

static struct
{
  struct sockaddr_in targets[TARGETS_MAX];
  size_t n_targets;
  size_t n_given; /* of them from the command line */
  load_service_t services[SERVICES_MAX];
  size_t n_services;
  size_t n_callers;
  size_t bytes;
  double rate;
  double duration;
  unsigned resend;
  long deadline_ms;
  bool direct;
  const char *query;
  const char *tenant;
  FILE *journal;
  uint64_t seed;
  random_state_t random;
  caller_t *callers;
  list_t idle;
  int epoll;
  uint64_t serial;
  uint64_t moved;
  uint64_t lookups_failed;
  histogram_t lookup_latency;
} load = { .n_callers = 32,
           .bytes = 200,
           .deadline_ms = 2000,
           .query = "",
           .tenant = "bench",
           .seed = 1 };

static size_t
target_add (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[32];
  unsigned port;
  if (sscanf (text, "%31[^:]:%u", ip, &port) != 2 || port > UINT16_MAX
      || inet_pton (AF_INET, ip, &address.sin_addr) != 1)
    return TARGETS_MAX;
  address.sin_port = htons ((uint16_t)port);
  for (size_t i = 0; i < load.n_targets; i++)
    if (memcmp (&load.targets[i], &address, sizeof address) == 0)
      return i;
  if (load.n_targets == TARGETS_MAX)
    return TARGETS_MAX;
  load.targets[load.n_targets] = address;
  return load.n_targets++;
}

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
  if (!own)
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
      size_t target = target_add (item);
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
  if (!load.direct && (needs_ticket || lookup->until <= arrived))
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
  usec_t begun = clock_monotonic ();
  usec_t next = begun;
  usec_t sweep = begun;
  for (;;)
    {
      usec_t now = clock_monotonic ();
      if (load.duration > 0 && (double)(now - begun) > load.duration * 1e6)
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

/* --- Report ----------------------------------------------------------- */

static double
quantile_ms (const histogram_t *histogram, double quantile)
{
  return (double)histogram_quantile (histogram, quantile) / USEC_PER_MSEC;
}

static uint64_t
report (double seconds)
{
  uint64_t wrong = 0, sent = 0;
  printf ("%-12s %-6s %-12s %9s %9s %8s %8s %6s %8s %8s %8s\n", "service",
          "method", "class", "sent", "answered", "not-run", "unknown", "wrong",
          "p50 ms", "p99 ms", "p99.9 ms");
  for (size_t i = 0; i < load.n_services; i++)
    {
      const load_service_t *s = &load.services[i];
      printf ("%-12s %-6s %-12s %9" PRIu64 " %9" PRIu64 " %8" PRIu64
              " %8" PRIu64 " %6" PRIu64 " %8.3f %8.3f %8.3f\n",
              s->name, s->method, s->request_class, s->sent, s->answered,
              s->not_run, s->unknown, s->wrong, quantile_ms (&s->latency, 0.5),
              quantile_ms (&s->latency, 0.99),
              quantile_ms (&s->latency, 0.999));
      wrong += s->wrong;
      sent += s->sent;
    }
  printf ("total sent=%" PRIu64 " wrong=%" PRIu64 " seconds=%.3f per_s=%.0f "
          "lookups=%" PRIu64 " lookups_failed=%" PRIu64 " moved=%" PRIu64
          " lookup_p99_ms=%.3f\n",
          sent, wrong, seconds, (double)sent / seconds,
          histogram_count (&load.lookup_latency), load.lookups_failed,
          load.moved, quantile_ms (&load.lookup_latency, 0.99));
  return wrong;
}

static const struct argp_option options[] = {
  { "entry", 'e', "IP:PORT", 0, "Ask this entry VM (repeated)" },
  { "direct", 'd', "IP:PORT", 0,
    "Send to this backend server itself (repeated)" },
  { "service", 's', "NAME:METHOD:CLASS:COUNT", 0, "What to send (repeated)" },
  { "connections", 'c', "N", 0, "Callers, each with one request at a time" },
  { "rate", 'r', "N", 0, "Requests a second; without it a closed loop" },
  { "duration", 'D', "SECONDS", 0, "Start nothing after this time" },
  { "bytes", 'b', "N", 0, "Payload of an answer" },
  { "deadline-ms", 'm', "N", 0, "Each request's deadline" },
  { "resend", 'R', "N", 0, "Send an unknown ticket again, up to N times" },
  { "query", 'q', "TEXT", 0, "Appended to each request's query, &us=5 say" },
  { "tenant", 't', "NAME", 0, "X-Tenant" },
  { "journal", 'j', "FILE", 0, "Write what each caller was told" },
  { "seed", 'S', "N", 0, "Seed of the order, bodies and arrivals" },
  { 0 },
};

static void
parse_service (const char *text, struct argp_state *state)
{
  if (load.n_services == SERVICES_MAX)
    argp_error (state, "more than %d services", SERVICES_MAX);
  load_service_t *service = &load.services[load.n_services++];
  if (sscanf (text, "%47[^:]:%7[^:]:%47[^:]:%" SCNu64, service->name,
              service->method, service->request_class, &service->left)
      != 4)
    argp_error (state, "--service is NAME:METHOD:CLASS:COUNT, not '%s'", text);
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  double number = text ? strtod (text, NULL) : 0;
  switch (key)
    {
    case 'd':
      load.direct = true; /* fall through */
    case 'e':
      if (target_add (text) == TARGETS_MAX)
        argp_error (state, "'%s' is no IP:PORT", text);
      load.n_given = load.n_targets;
      return 0;
    case 's':
      parse_service (text, state);
      return 0;
    case 'c':
      load.n_callers = (size_t)number;
      return 0;
    case 'r':
      load.rate = number;
      return 0;
    case 'D':
      load.duration = number;
      return 0;
    case 'b':
      load.bytes = (size_t)number;
      return 0;
    case 'm':
      load.deadline_ms = (long)number;
      return 0;
    case 'R':
      load.resend = (unsigned)number;
      return 0;
    case 'q':
      load.query = text;
      return 0;
    case 't':
      load.tenant = text;
      return 0;
    case 'S':
      load.seed = strtoull (text, NULL, 10);
      return 0;
    case 'j':
      load.journal = fopen (text, "we");
      if (!load.journal)
        argp_failure (state, EXIT_BAD_USAGE, 0, "can't write %s", text);
      return 0;
    case ARGP_KEY_END:
      if (load.n_targets == 0 || load.n_services == 0 || load.n_callers == 0)
        argp_error (state, "give --entry or --direct, and --service");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL,
          "Callers that check every answer and print what they were told." };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
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
  usec_t begun = clock_monotonic ();
  run ();
  double seconds = (double)(clock_monotonic () - begun) / (double)USEC_PER_SEC;
  uint64_t wrong = report (seconds);
  if (load.journal)
    fclose (load.journal);
  return wrong ? EXIT_WRONG : EXIT_SUCCESS;
}
