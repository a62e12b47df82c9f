/* limiter: one router's part in keeping the quotas of client accounts.

   Load pattern: an account's callers come through any of the routers, few or
   all of them, and one account asks for several times its quota.  The sum over
   the routers must stay within the quota, and a request within it should not
   be refused.

   The router has a token bucket for each account that it is asked for.  It
   refills at the router's part of the account's rate: the router's part of the
   account's demand, by what it last reported to a director.  Directors report
   back the level of the account's bucket over all routers, which limits what
   the router's bucket may hold.  Without a fresh report the router goes on at
   a low rate that all routers together may use beside the others.

   Pure: no I/O and no clock.  Times are usec of the monotonic clock.  */

#ifndef QUOTA_LIMITER_H
#define QUOTA_LIMITER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/random.h"
#include "quota/quota_defs.h"
#include "routing/route_defs.h"

/* A report of a director counts for this long.  */
#define LIMITER_REPORT_LIFETIME (1500 * USEC_PER_MSEC)

typedef struct limiter_bucket
{
  uint64_t account;
  double rate; /* requests per second, by the configuration last used */
  double burst;
  double tokens;
  usec_t refilled_at;
  usec_t asked_at; /* for the last time */
  quota_demand_t demand;
  double reported_demand;  /* per second, at the last answered report */
  int64_t admitted;        /* since then */
  uint64_t asked;          /* since then */
  quota_usage_t in_flight; /* of these, in a report without an answer yet */
  double demand_in_flight; /* per second, when that was made */
  quota_state_t fleet;     /* by the last answer; valid if told_at > 0 */
  usec_t told_at;          /* when it came; 0: never */
  bool is_in_debt;         /* the fleet's bucket, by the last answer */
} limiter_bucket_t;

/* Zero-initialized but for `random`.  */
typedef struct limiter
{
  size_t n;
  size_t n_allocated;
  limiter_bucket_t *buckets; /* malloc'd, by account */
  random_state_t random;
  bool has_been_told; /* of an account, by a director */
} limiter_t;

void limiter_clear (limiter_t *limiter);

/* Whether a request of ACCOUNT is within its quota; N_ROUTERS is the number of
   known routers.  If not, *RETRY_AFTER is the time from NOW after which it may
   be.  */
bool limiter_admit (limiter_t *limiter, const client_account_t *account,
                    size_t n_routers, usec_t now, usec_t *retry_after);

/* A request of ACCOUNT that was admitted has not run and is refused for
   another reason: it does not count.  */
void limiter_give_back (limiter_t *limiter, const client_account_t *account);

/* Fill in USAGES, which has room for QUOTA_USAGES_MAX, with what to report to
   a director, the most asked-for accounts first if there are more.  Returns
   how many.  limiter_report_ended must follow before the next report.  */
size_t limiter_report (limiter_t *limiter, quota_usage_t *usages, usec_t now);

/* The last report was answered at NOW, if IS_ANSWERED is true, with the N
   STATES of the reported accounts and of those in debt; otherwise it may be
   lost.  */
void limiter_report_ended (limiter_t *limiter, bool is_answered,
                           const quota_state_t *states, size_t n, usec_t now);

/* Forget accounts that were not asked for lately.  */
void limiter_expire (limiter_t *limiter, usec_t now);

#endif
