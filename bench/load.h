/* load: what the parts of the load tool share.  */

#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>

#include "base/histogram.h"
#include "base/list.h"
#include "base/random.h"
#include "load_http.h"

enum
{
  TARGETS_MAX = 64,
  SERVICES_MAX = 16,
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

struct caller;

typedef struct load
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
  double warm_up;
  usec_t begun;
  unsigned resend;
  long deadline_ms;
  bool direct;
  const char *query;
  const char *tenant;
  FILE *journal;
  uint64_t seed;
  random_state_t random;
  struct caller *callers;
  list_t idle;
  int epoll;
  uint64_t serial;
  uint64_t moved;
  uint64_t lookups_failed;
  histogram_t lookup_latency;
} load_t;

extern load_t load;

/* The index of the address TEXT, "IP:PORT"; TARGETS_MAX where it is none or
   there are too many.  */
size_t load_target_add (const char *text);

void load_parse (int argc, char **argv);

/* Print what the callers were told; returns how many answers were wrong.  */
uint64_t load_report (double seconds);

#endif
