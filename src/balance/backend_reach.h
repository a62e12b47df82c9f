/* backend_reach: whether this router reaches any backend server.  Pure; times
   are usec of one monotonic clock.

   Load pattern: a router loses its links to all backend servers, while
   callers, directors and the other routers reach it.  Its connections hang or
   are reset, or live on while new ones are refused.

   Servers that end, or are full, look the same one by one.  So failures at two
   servers raise a doubt, and a few servers, chosen at random from all, are
   then asked for their health over new connections.  One answer shows that
   there is no cut, and refusals by all that there is one.  Connections that
   are not made in time, or get no answer, may be due to full servers or a busy
   router: they show a cut only if no response of any server came lately, or no
   new connection was made since the doubt.  */

#ifndef BALANCE_BACKEND_REACH_H
#define BALANCE_BACKEND_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  REACH_SUSPECTS = 2,    /* servers that failed, for a doubt */
  REACH_CHECKS = 4,      /* servers that are asked in one round */
  REACH_GOOD_ROUNDS = 2, /* in a row, until a cut has ended */
};

/* A failure raises no doubt any more.  */
#define REACH_FAILURE_LIFETIME (2 * USEC_PER_SEC)
/* Without a response for so long, though requests are in flight.  */
#define REACH_SILENCE USEC_PER_SEC
/* Without a new connection for so long in a doubt.  */
#define REACH_UNMADE (1500 * USEC_PER_MSEC)
/* Between two rounds.  */
#define REACH_ROUND_INTERVAL (500 * USEC_PER_MSEC)

typedef enum
{
  REACH_ANY,      /* some backend server is reached */
  REACH_DOUBTFUL, /* a round has to tell */
  REACH_NONE,     /* a cut */
} reach_state_t;

/* What came of a connection to a backend server.  */
typedef enum
{
  CONTACT_RESPONSE, /* the head of a response */
  CONTACT_SILENT,   /* it was made; no response came */
  CONTACT_UNMADE,   /* it was not made in time */
  CONTACT_REFUSED,
} contact_t;

/* All zero at first.  */
typedef struct backend_reach
{
  reach_state_t state;
  usec_t changed_at; /* STATE; 0: never */
  size_t n_failed;
  uint64_t failed[REACH_SUSPECTS]; /* servers, since the last new connection
                                      with a response */
  usec_t failed_at;                /* the last of them */
  usec_t response_at;              /* the last response over any connection */
  usec_t made_at;                  /* the last new connection */
  usec_t next_round_at;
  bool is_round_open;
  size_t n_checks; /* of the round */
  size_t n_out;    /* of these, without a result */
  size_t n_refused;
  size_t n_good_rounds; /* in a row */
} backend_reach_t;

/* A request or health check at SERVER (a hash), other than one of a round, had
   CONTACT; IS_NEW: on a new connection.  */
void backend_reach_contact (backend_reach_t *reach, uint64_t server,
                            contact_t contact, bool is_new, usec_t now);

/* The request in flight that was sent first was sent at SENT_AT.  */
void backend_reach_waiting (backend_reach_t *reach, usec_t sent_at,
                            usec_t now);

/* Whether a round of checks is due.  */
bool backend_reach_round_is_due (const backend_reach_t *reach, usec_t now);

/* A round of N checks begins; N is 0 if no server can be asked.  */
void backend_reach_begin_round (backend_reach_t *reach, size_t n, usec_t now);

/* A check of the round has ended with CONTACT.  */
void backend_reach_check_ended (backend_reach_t *reach, contact_t contact,
                                usec_t now);

#endif
