#include "load.h"

#include <argp.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

load_t load = { .n_callers = 32,
                .bytes = 200,
                .deadline_ms = 2000,
                .query = "",
                .tenant = "bench",
                .seed = 1 };

size_t
load_target_add (const char *text)
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

/* --- Report ----------------------------------------------------------- */

static double
quantile_ms (const histogram_t *histogram, double quantile)
{
  return (double)histogram_quantile (histogram, quantile) / USEC_PER_MSEC;
}

uint64_t
load_report (double seconds)
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
  { "warm-up", 'w', "SECONDS", 0,
    "Leave answers of this time out of the latencies" },
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
      if (load_target_add (text) == TARGETS_MAX)
        argp_error (state, "'%s' is no IP:PORT", text);
      load.n_given = load.n_targets;
      return 0;
    case 's':
      parse_service (text ? text : "", state);
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
    case 'w':
      load.warm_up = number;
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
      load.seed = strtoull (text ? text : "1", NULL, 10);
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

void
load_parse (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL,
          "Callers that check every answer and print what they were told." };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
}
