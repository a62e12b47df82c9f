/* book: the buckets of client accounts over all routers, as one director knows
   them.

   Load pattern: see quota/limiter.h.  Routers report to any director what they
   admitted and were asked.  A follower tells the leader the totals of what was
   reported to it; the leader tells the followers the buckets, and how much of
   their totals these include.  Without a leader each director goes on with
   what it knows.

   An account is in the book while requests of it are reported.  Pure: no I/O
   and no clock.  Times are usec of the monotonic clock.  */

#ifndef QUOTA_BOOK_H
#define QUOTA_BOOK_H

#include <stddef.h>

#include "quota/quota_defs.h"
#include "routing/route_defs.h"

enum
{
  BOOK_ACCOUNTS_MAX = 16384,
  BOOK_PEERS_MAX = 63, /* directors */
};

/* What the routers of one director reported of an account since that director
   started.  */
typedef struct book_total
{
  uint64_t account;
  int64_t admitted;
  uint64_t asked;
} book_total_t;

typedef struct book_entry
{
  uint64_t account;
  double rate; /* by the configuration */
  double burst;
  double level;
  usec_t level_at;
  quota_demand_t demand;
  book_total_t own; /* of the routers that report to this director */
  usec_t used_at;
  size_t n_peers;
  book_total_t *peers; /* malloc'd, by slot: what is included of their
                          totals */
} book_entry_t;

/* The quota of an account, by the configuration.  */
typedef struct book_limit
{
  uint64_t account;
  double rate; /* requests per second; more than 0 */
  double burst;
} book_limit_t;

/* Where the totals of a director come from.  */
typedef struct book_source
{
  size_t slot;
  uint64_t incarnation; /* of its process; not 0 */
  int64_t sent_at;      /* by its own clock: later ones are newer */
} book_source_t;

/* Zero-initialized.  */
typedef struct book
{
  size_t n_limits;
  book_limit_t *limits; /* malloc'd, by account */
  size_t n;
  size_t n_allocated;
  book_entry_t *entries;                 /* malloc'd, by account */
  book_source_t sources[BOOK_PEERS_MAX]; /* by slot: the last ones */
  usec_t used_at; /* when a request was last counted; 0: never */
  size_t next;    /* entry that the next message begins with */
} book_t;

void book_clear (book_t *book);

/* Use the quotas of CONFIG's accounts from now on, and forget the accounts
   without one.  */
void book_set_limits (book_t *book, const route_config_t *config, usec_t now);

/* Count the N USAGES that a router reports.  */
void book_report (book_t *book, const quota_usage_t *usages, size_t n,
                  usec_t now);

/* Fill in STATES, which has room for QUOTA_USAGES_MAX: the buckets of the N
   USAGES, and of other accounts that are in debt, so that a router that is not
   asked for one of these yet knows.  Returns how many.  */
size_t book_states (const book_t *book, const quota_usage_t *usages, size_t n,
                    quota_state_t *states, usec_t now);

/* Fill in the totals to tell the leader, of the accounts used lately, up to
   MAX; the others follow with the next calls.  Returns how many.  */
size_t book_totals (book_t *book, book_total_t *totals, size_t max,
                    usec_t now);

/* Count what the totals of the director SOURCE have that is not included yet.
   Those that were sent before the last ones are ignored.  */
void book_add_totals (book_t *book, const book_source_t *source,
                      const book_total_t *totals, size_t n, usec_t now);

/* A bucket that the leader tells to a follower.  */
typedef struct book_shared
{
  quota_state_t state;
  int64_t included; /* of the follower's total of admitted requests */
} book_shared_t;

/* Fill in the buckets for the follower in slot PEER, of the accounts used
   lately, up to MAX; the others follow with the next calls.  Returns how
   many.  */
size_t book_share (book_t *book, size_t peer, book_shared_t *shared,
                   size_t max, usec_t now);

/* Replace the buckets by those that the leader told.  */
void book_adopt (book_t *book, const book_shared_t *shared, size_t n,
                 usec_t now);

/* Whether a request of some account was counted lately.  */
bool book_is_used (const book_t *book, usec_t now);

/* Forget accounts that are not used.  */
void book_expire (book_t *book, usec_t now);

#endif
