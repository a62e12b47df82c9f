/* backend: what the parts of fake-backend share.  */

#ifndef FAKE_BACKEND_H
#define FAKE_BACKEND_H

#include <microhttpd.h>
#include <netinet/in.h>

#include "base/list.h"
#include "base/random.h"
#include "base/time_defs.h"

enum
{
  BACKENDS_MAX = 128,
  NAME_MAX_BYTES = 48,
  EXIT_USAGE_ERROR = 2,
};

typedef struct behaviour
{
  usec_t service_time;
  int shed_permille;
  int draining;
  int load_busy; /* what /load claims; -1: the truth */
  int silent_after;
  int stops_poison; /* answers 504 in place of the crash */
} behaviour_t;

typedef struct backend
{
  char name[NAME_MAX_BYTES];
  char service[NAME_MAX_BYTES];
  struct sockaddr_in address;
  unsigned slots;
  unsigned connections_max;
  unsigned busy;
  unsigned connections;
  struct MHD_Daemon *daemon;
  behaviour_t behaviour;
} backend_t;

typedef struct fake
{
  backend_t backends[BACKENDS_MAX];
  size_t n_backends;
  behaviour_t behaviour;
  usec_t cold;
  usec_t started;
  const char *journal_path;
  int journal;
  uint64_t seed;
  random_state_t random;
  list_t running;
  int epoll;
} fake_t;

extern fake_t fake;

void fake_parse (int argc, char **argv);

#endif
