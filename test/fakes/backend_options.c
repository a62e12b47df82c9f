#include "backend.h"

#include <argp.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

fake_t fake = { .behaviour = { .load_busy = -1 }, .journal = -1, .seed = 1 };

static void
parse_backend (char *text, struct argp_state *state)
{
  if (fake.n_backends == BACKENDS_MAX)
    argp_error (state, "more than %d backend servers", BACKENDS_MAX);
  backend_t *backend = &fake.backends[fake.n_backends++];
  char ip[32];
  unsigned port;
  backend->connections_max = 330;
  int n = sscanf (text, "%47[^,],%47[^,],%31[^,],%u,%u,%u", backend->name,
                  backend->service, ip, &port, &backend->slots,
                  &backend->connections_max);
  backend->address.sin_family = AF_INET;
  if (n < 5 || port > UINT16_MAX
      || inet_pton (AF_INET, ip, &backend->address.sin_addr) != 1)
    argp_error (state,
                "--backend is NAME,SERVICE,IP,PORT,SLOTS"
                "[,CONNECTIONS], not '%s'",
                text);
  backend->address.sin_port = htons ((uint16_t)port);
}

static const struct argp_option options[] = {
  { "backend", 'b', "NAME,SERVICE,IP,PORT,SLOTS[,CONNECTIONS]", 0,
    "Play this backend server (repeated)" },
  { "service-time-us", 't', "MEAN", 0, "Mean service time; 0 is at once" },
  { "cold-ms", 'c', "MS", 0, "Start ten times as slow, for MS" },
  { "shed-permille", 's', "N", 0, "Refuse N of 1000 before the start" },
  { "load-busy", 'l', "N", 0, "What /load claims, true or not" },
  { "silent-after", 'q', "N", 0,
    "A connection goes silent for good after N requests" },
  { "journal", 'j', "FILE", 0, "Append a line for each start and end" },
  { "seed", 'S', "N", 0, "Seed of service times and refusals" },
  { 0 },
};

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  int number = text ? (int)strtol (text, NULL, 10) : 0;
  switch (key)
    {
    case 'b':
      parse_backend (text, state);
      return 0;
    case 't':
      fake.behaviour.service_time = number;
      return 0;
    case 'c':
      fake.cold = number * USEC_PER_MSEC;
      return 0;
    case 's':
      fake.behaviour.shed_permille = number;
      return 0;
    case 'l':
      fake.behaviour.load_busy = number;
      return 0;
    case 'q':
      fake.behaviour.silent_after = number;
      return 0;
    case 'j':
      fake.journal_path = text;
      return 0;
    case 'S':
      fake.seed = strtoull (text ? text : "1", NULL, 10);
      return 0;
    case ARGP_KEY_END:
      if (fake.n_backends == 0)
        argp_error (state, "give at least one --backend");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

void
fake_parse (int argc, char **argv)
{
  static const struct argp argp = {
    options, parse_option, NULL,
    "Plays backend servers for tests.\v"
    "Query arguments of a request: caller, bytes, us, poison, hangup, silent, "
    "short, chunked, crossed.  POST /fake?KEY=VALUE changes "
    "service_time_us, shed_permille, draining, load_busy, "
    "silent_after.  SIGTERM ends it."
  };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
}
