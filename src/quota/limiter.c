#include "quota/limiter.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/sorted_array.h"

enum
{
  LIMITER_BUCKETS_MAX = 16384, /* of accounts that are told to be in debt */
};

/* A debt of the fleet's bucket is paid back over this time.  */
#define REPAY_TIME (2 * USEC_PER_SEC)
/* An account that is not asked for is forgotten; its bucket is full by then,
   and its demand is zero.  */
#define IDLE_TIME (20 * USEC_PER_SEC)
/* Bounds of Retry-After.  */
#define RETRY_AFTER_MIN (100 * USEC_PER_MSEC)
#define RETRY_AFTER_MAX (10 * USEC_PER_SEC)

/* The part of an account's rate that all routers together may use without a
   report.  */
static const double unreported_fraction = 0.3;
/* Tokens that any router may hold while the fleet's bucket is at least half
   full and the demand is within the rate.  */
static const double tokens_if_calm = 3;
/* Tokens for an account that the router knows nothing of.  */
static const double tokens_at_first = 2;
/* The part of the fleet's level that one answer gives out; others follow
   before all routers have told what they took.  */
static const double level_fraction = 0.5;

void
limiter_clear (limiter_t *limiter)
{
  free (limiter->buckets);
  limiter->buckets = NULL;
  limiter->n = 0;
  limiter->n_allocated = 0;
  limiter->has_been_told = false;
}

static limiter_bucket_t *
find (const limiter_t *limiter, uint64_t account)
{
  return sorted_array_find (limiter->buckets, limiter->n,
                            sizeof *limiter->buckets, account);
}

static double
even_part (size_t n_routers)
{
  return 1.0 / (double)(n_routers > 0 ? n_routers : 1);
}

/* Tokens for an account that the router is asked for first.  The routers that
   a started one knows of may not be all: it takes no part of the burst until a
   director has told it of a bucket.  */
static double
first_tokens (const limiter_t *limiter, const client_account_t *account,
              size_t n_routers)
{
  if (!limiter->has_been_told)
    return tokens_at_first;
  return fmax (tokens_at_first, account->burst * even_part (n_routers));
}

static limiter_bucket_t *
insert (limiter_t *limiter, uint64_t account, double tokens, usec_t now)
{
  size_t at = sorted_array_position (limiter->buckets, limiter->n,
                                     sizeof *limiter->buckets, account);
  limiter_bucket_t *bucket = sorted_array_insert (
      (void **)&limiter->buckets, &limiter->n, &limiter->n_allocated,
      sizeof *limiter->buckets, at);
  *bucket = (limiter_bucket_t){ .account = account,
                                .refilled_at = now,
                                .tokens = tokens };
  return bucket;
}

static bool
is_fresh (const limiter_bucket_t *bucket, usec_t now)
{
  return bucket->told_at > 0
         && now - bucket->told_at < LIMITER_REPORT_LIFETIME;
}

/* The router's part of the account's demand.  */
static double
part_of (const limiter_bucket_t *bucket, usec_t now, size_t n_routers)
{
  double own = bucket->reported_demand;
  if (!is_fresh (bucket, now))
    return even_part (n_routers);
  double all = fmax (own, bucket->fleet.demand);
  return all > 0 ? own / all : 0;
}

/* Tokens per second.  */
static double
refill_rate (const limiter_bucket_t *bucket, double part, usec_t now)
{
  if (!is_fresh (bucket, now))
    return unreported_fraction * bucket->rate * part;
  double repaid = fmin (bucket->fleet.level, 0)
                  / ((double)REPAY_TIME / (double)USEC_PER_SEC);
  return part * fmax (bucket->rate + repaid, 0);
}

/* Refilling goes up to this; a report of the fleet's level may give more.  */
static double
tokens_max (const limiter_bucket_t *bucket, double part)
{
  return fmax (1, bucket->burst * part);
}

static void
refill (limiter_bucket_t *bucket, double part, usec_t now)
{
  double span = (double)(now - bucket->refilled_at) / (double)USEC_PER_SEC;
  double most = fmax (tokens_max (bucket, part),
                      fmin (bucket->tokens, tokens_if_calm));
  bucket->refilled_at = now;
  bucket->tokens
      = fmin (most, bucket->tokens + span * refill_rate (bucket, part, now));
}

/* The fleet's bucket is in debt: what the router holds beyond its part is
   void. A part of less than one token is kept by chance, so that the routers'
   next tokens don't come all at once.  */
static void
enter_debt (limiter_t *limiter, limiter_bucket_t *bucket, double part)
{
  double most = bucket->burst * part;
  if (bucket->is_in_debt)
    return;
  bucket->is_in_debt = true;
  if (most < 1)
    most = random_unit (&limiter->random);
  bucket->tokens = fmin (bucket->tokens, most);
}

/* Give out the router's part of the fleet's level, which was told now.  */
static void
apply_level (limiter_t *limiter, limiter_bucket_t *bucket, usec_t now)
{
  double level = bucket->fleet.level;
  double part = part_of (bucket, now, 0);
  double most = tokens_max (bucket, part);
  if (level <= 0)
    {
      enter_debt (limiter, bucket, part);
      return;
    }
  bucket->is_in_debt = false;
  bucket->tokens
      = fmax (bucket->tokens, fmin (most, part * level * level_fraction));
  if (level >= bucket->burst / 2 && bucket->fleet.demand <= bucket->rate)
    bucket->tokens = fmax (bucket->tokens, tokens_if_calm);
}

static usec_t
time_until_token (limiter_t *limiter, const limiter_bucket_t *bucket,
                  double rate)
{
  usec_t wait = RETRY_AFTER_MAX;
  if (rate > 0)
    wait = (usec_t)fmin ((1 - bucket->tokens) / rate * (double)USEC_PER_SEC,
                         (double)RETRY_AFTER_MAX);
  if (wait < RETRY_AFTER_MIN)
    wait = RETRY_AFTER_MIN;
  return wait + (usec_t)(random_unit (&limiter->random) * (double)wait / 2);
}

bool
limiter_admit (limiter_t *limiter, const client_account_t *account,
               size_t n_routers, usec_t now, usec_t *retry_after)
{
  if (account->rate <= 0)
    return true;
  limiter_bucket_t *bucket = find (limiter, account->id);
  if (!bucket)
    bucket = insert (limiter, account->id,
                     first_tokens (limiter, account, n_routers), now);
  double part = part_of (bucket, now, n_routers);
  bucket->rate = account->rate;
  bucket->burst = account->burst;
  refill (bucket, part, now);
  bucket->asked++;
  bucket->asked_at = now;
  quota_demand_add (&bucket->demand, 1, now);
  if (bucket->tokens < 1)
    {
      *retry_after = time_until_token (limiter, bucket,
                                       refill_rate (bucket, part, now));
      return false;
    }
  bucket->tokens -= 1;
  bucket->admitted++;
  return true;
}

void
limiter_give_back (limiter_t *limiter, const client_account_t *account)
{
  limiter_bucket_t *bucket = find (limiter, account->id);
  if (!bucket)
    return;
  bucket->admitted--;
  bucket->tokens += 1;
}

/* Whether there is something to report of BUCKET, or to be told.  */
static bool
is_active (const limiter_bucket_t *bucket, usec_t now)
{
  return bucket->asked > 0 || bucket->admitted != 0
         || now - bucket->asked_at < 2 * QUOTA_DEMAND_TIME;
}

static int
compare_asked (const void *a, const void *b)
{
  uint64_t left = ((const quota_usage_t *)a)->asked;
  uint64_t right = ((const quota_usage_t *)b)->asked;
  return left > right ? -1 : left < right;
}

size_t
limiter_report (limiter_t *limiter, quota_usage_t *usages, usec_t now)
{
  size_t n = 0;
  quota_usage_t *all = calloc (limiter->n + 1, sizeof *all);
  if (!all)
    abort ();
  for (size_t i = 0; i < limiter->n; i++)
    {
      const limiter_bucket_t *bucket = &limiter->buckets[i];
      if (is_active (bucket, now))
        all[n++] = (quota_usage_t){ .account = bucket->account,
                                    .admitted = bucket->admitted,
                                    .asked = bucket->asked };
    }
  if (n > QUOTA_USAGES_MAX)
    {
      qsort (all, n, sizeof *all, compare_asked);
      n = QUOTA_USAGES_MAX;
    }
  memcpy (usages, all, n * sizeof *all);
  free (all);
  for (size_t i = 0; i < n; i++)
    {
      limiter_bucket_t *bucket = find (limiter, usages[i].account);
      bucket->in_flight = usages[i];
      bucket->demand_in_flight = quota_demand_at (&bucket->demand, now);
    }
  return n;
}

/* The report is counted at the director.  */
static void
settle (limiter_bucket_t *bucket)
{
  bucket->admitted -= bucket->in_flight.admitted;
  bucket->asked -= bucket->in_flight.asked;
  bucket->reported_demand = bucket->demand_in_flight;
}

void
limiter_report_ended (limiter_t *limiter, bool is_answered,
                      const quota_state_t *states, size_t n, usec_t now)
{
  for (size_t i = 0; i < limiter->n; i++)
    {
      limiter_bucket_t *bucket = &limiter->buckets[i];
      if (is_answered && bucket->in_flight.account != 0)
        settle (bucket);
      bucket->in_flight = (quota_usage_t){ 0 };
    }
  if (!is_answered)
    return;
  limiter->has_been_told = limiter->has_been_told || n > 0;
  for (size_t i = 0; i < n; i++)
    {
      limiter_bucket_t *bucket = find (limiter, states[i].account);
      if (!bucket && limiter->n < LIMITER_BUCKETS_MAX)
        bucket = insert (limiter, states[i].account, 0, now);
      if (!bucket)
        continue;
      bucket->fleet = states[i];
      bucket->fleet.level -= (double)bucket->admitted;
      bucket->told_at = now;
      apply_level (limiter, bucket, now);
    }
}

void
limiter_expire (limiter_t *limiter, usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < limiter->n; i++)
    {
      const limiter_bucket_t *bucket = &limiter->buckets[i];
      bool was_asked
          = bucket->asked_at > 0 && now - bucket->asked_at < IDLE_TIME;
      if (was_asked || is_fresh (bucket, now))
        limiter->buckets[n++] = *bucket;
    }
  limiter->n = n;
}
