/* send_watch: tells a peer that reads slowly from one that has gone silent,
   while a request is sent to it.  Pure: the caller asks the kernel and sets
   the socket's options.

   Linux counts a closed receive window against TCP_USER_TIMEOUT as it does
   silence, although the peer acknowledges each probe of its window, and
   although it has read a little meanwhile.  So the option is off while a
   request is sent, the time between two probes is bounded by TCP_RTO_MAX_MS,
   and silence is told here alone: the kernel's clock would run on while this
   process is not scheduled.

   A kernel older than 6.15 has no such bound.  There, once bytes are held
   back, the option is raised from check to check, a little ahead of the time
   since then.  The kernel sends its next probe no later than the option
   allows, so it must not be far ahead.  */

#ifndef WIRE_SEND_WATCH_H
#define WIRE_SEND_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  SEND_TIMEOUT_MSEC = 1500,    /* bytes may stay unacknowledged for so long */
  SEND_PROBE_SPAN_MSEC = 1000, /* between two probes; the least for Linux */
  /* Shorter requests need no watch: they fit into a usual window.  */
  SEND_WATCH_BYTES_MIN = 16 * 1024,
};

/* The time from one check to the next.  */
#define SEND_WATCH_SPAN (100 * USEC_PER_MSEC)

/* What the kernel tells of a connection.  */
typedef struct send_facts
{
  uint32_t n_unacknowledged; /* segments under way */
  uint32_t unsent_bytes;     /* written to the socket */
  uint32_t n_probes;         /* sent since the last acknowledgement */
  usec_t since_sent;         /* since the last segment with data */
  usec_t since_acknowledged; /* since the last segment that came */
  uint64_t n_acknowledged;   /* bytes */
  bool is_closed;            /* the peer's window */
} send_facts_t;

/* Whether all bytes that were written to the socket are acknowledged.  */
bool send_facts_all_acknowledged (const send_facts_t *facts);

/* Of one connection.  All zero at first, but for KERNEL_TIMER_IS_OFF.  */
typedef struct send_watch
{
  /* TCP_USER_TIMEOUT is off, and the time between probes is bounded; else it
     is SEND_TIMEOUT_MSEC at first.  */
  bool kernel_timer_is_off;
  bool is_held;       /* the peer's window held bytes back, now or before */
  usec_t held_at;     /* since when, at first */
  bool is_awaited;    /* an acknowledgement is */
  usec_t awaited_at;  /* since when, without any */
  usec_t awaited_for; /* as far as it was looked at; valid if is_awaited */
  usec_t probe_limit; /* for awaited_for, if a probe is unanswered */
  usec_t checked_at;
  uint64_t n_acknowledged; /* at the last check */
  int timeout_msec; /* the value for TCP_USER_TIMEOUT; valid if is_held and not
                       kernel_timer_is_off */
} send_watch_t;

typedef enum
{
  SEND_GOES_ON,
  SEND_ARRIVED, /* all bytes that were written are acknowledged, and none were
                   held back */
  SEND_SILENT,  /* the peer acknowledges nothing */
} send_state_t;

/* Check FACTS at NOW.  Unless its timer is off, the kernel ends connections to
   silent peers before bytes are held back.  */
send_state_t send_watch_check (send_watch_t *watch, const send_facts_t *facts,
                               usec_t now);

#endif
