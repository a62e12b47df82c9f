#include "admission/escrow.h"

#include <stdlib.h>

enum
{
  PPM = 1000000,
  PERCENT = 100,
};

static int64_t
min_amount (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
max_amount (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

escrow_t *
escrow_new (const escrow_options_t *options, err_t *err)
{
  static const char remedy[] = "lower the floors or raise the cap";
  if (options->cap < 0 || options->reserved < 0
      || options->reserved > options->cap)
    {
      err_set (
          err, ERR_USAGE, remedy,
          "budget cap %lld with %lld reserved for floors: the reserve must be "
          "between 0 and the cap",
          (long long)options->cap, (long long)options->reserved);
      return NULL;
    }
  if (options->n_accounts == 0 || options->terms.drift_ppm >= PPM)
    {
      err_set (err, ERR_USAGE,
               "give at least one account and a clock drift below 1000000 ppm",
               "budget with %zu accounts and a clock drift of %u ppm",
               options->n_accounts, options->terms.drift_ppm);
      return NULL;
    }
  escrow_t *escrow = calloc (1, sizeof *escrow);
  escrow->options = *options;
  escrow->accounts = calloc (options->n_accounts, sizeof *escrow->accounts);
  return escrow;
}

void
escrow_free (escrow_t *escrow)
{
  if (!escrow)
    return;
  free (escrow->accounts);
  free (escrow);
}

int64_t
escrow_floor (int64_t cap, uint32_t percent, int64_t part, int64_t whole)
{
  if (whole <= 0)
    return 0;
  __int128 floor = (__int128)cap * percent * part;
  return (int64_t)(floor / PERCENT / whole);
}

usec_t
escrow_granter_wait (const lease_terms_t *terms)
{
  /* Worst case: the holder's clock runs slow and the granter's fast.  */
  usec_t drift = terms->duration * 2 * terms->drift_ppm
                     / (PPM - (usec_t)terms->drift_ppm)
                 + 1;
  return terms->duration + drift + terms->margin;
}

static int64_t
account_outstanding (const account_t *account)
{
  return account->open ? account->granted - account->returned : 0;
}

int64_t
escrow_granted (const escrow_t *escrow)
{
  int64_t sum = escrow->spent;
  for (size_t i = 0; i < escrow->n_accounts; i++)
    sum += account_outstanding (&escrow->accounts[i]);
  return sum;
}

int64_t
escrow_available (const escrow_t *escrow)
{
  return escrow->options.cap - escrow->options.reserved
         - escrow_granted (escrow);
}

static void
account_close (escrow_t *escrow, account_t *account)
{
  if (escrow->options.kind == BUDGET_SPEND)
    escrow->spent += account_outstanding (account);
  account->open = false;
}

void
escrow_expire (escrow_t *escrow, usec_t now)
{
  if (escrow->options.kind == BUDGET_SPEND)
    return;
  usec_t wait = escrow_granter_wait (&escrow->options.terms);
  for (size_t i = 0; i < escrow->n_accounts; i++)
    {
      account_t *account = &escrow->accounts[i];
      if (account->open && now - account->renewed_at >= wait)
        account_close (escrow, account);
    }
}

void
escrow_rebase (escrow_t *escrow, usec_t now)
{
  for (size_t i = 0; i < escrow->n_accounts; i++)
    escrow->accounts[i].renewed_at = now;
}

/* The account of HOLDER's newest generation, or NULL.  Closed accounts stay in
   the table so that a late ask can't open them again.  */
static account_t *
account_newest (escrow_t *escrow, vm_id_t holder)
{
  account_t *newest = NULL;
  for (size_t i = 0; i < escrow->n_accounts; i++)
    {
      account_t *account = &escrow->accounts[i];
      if (account->id.holder != holder)
        continue;
      if (!newest || account->id.generation > newest->id.generation)
        newest = account;
    }
  return newest;
}

/* A table entry for a new account: that of a closed account of the same
   holder, else the next unused one; NULL where the table is full.  */
static account_t *
account_allocate (escrow_t *escrow, vm_id_t holder)
{
  for (size_t i = 0; i < escrow->n_accounts; i++)
    {
      account_t *account = &escrow->accounts[i];
      if (!account->open && account->id.holder == holder)
        return account;
    }
  if (escrow->n_accounts == escrow->options.n_accounts)
    return NULL;
  return &escrow->accounts[escrow->n_accounts++];
}

/* The open account that ASK names, opened where its generation is new.  NULL
   where the account is closed, with *STALE set, or the table is full.  */
static account_t *
account_of_ask (escrow_t *escrow, const escrow_ask_t *ask, usec_t now,
                bool *stale)
{
  account_t *newest = account_newest (escrow, ask->account.holder);
  if (newest && ask->account.generation <= newest->id.generation)
    {
      bool same = ask->account.generation == newest->id.generation;
      *stale = !same || !newest->open;
      return *stale ? NULL : newest;
    }
  if (newest && newest->open && escrow->options.kind == BUDGET_SPEND)
    account_close (escrow, newest);
  account_t *account = account_allocate (escrow, ask->account.holder);
  if (account)
    *account
        = (account_t){ .id = ask->account, .renewed_at = now, .open = true };
  return account;
}

static int64_t
grant_amount (escrow_t *escrow, int64_t more, usec_t now)
{
  int64_t available = escrow_available (escrow);
  int64_t divisor = max_amount (escrow->options.grant_divisor, 1);
  int64_t bound = (available + divisor - 1) / divisor;
  if (more > bound)
    escrow->last_shortfall_at = now;
  return max_amount (min_amount (more, bound), 0);
}

/* The amount that ACCOUNT should return because another holder was short
   within the last lease: what is above the mean of the open accounts.  */
static int64_t
recall_amount (const escrow_t *escrow, const account_t *account, usec_t now)
{
  if (escrow->last_shortfall_at == 0
      || now - escrow->last_shortfall_at > escrow->options.terms.duration)
    return 0;
  int64_t n_open = 0;
  for (size_t i = 0; i < escrow->n_accounts; i++)
    n_open += escrow->accounts[i].open;
  if (n_open == 0)
    return 0;
  int64_t mean
      = (escrow->options.cap - escrow->options.reserved - escrow->spent)
        / n_open;
  return max_amount (account_outstanding (account) - mean, 0);
}

escrow_answer_t
escrow_apply (escrow_t *escrow, const escrow_ask_t *ask, usec_t now)
{
  escrow_answer_t answer
      = { .account = ask->account, .sent_at = ask->sent_at };
  escrow_expire (escrow, now);
  account_t *account = account_of_ask (escrow, ask, now, &answer.stale);
  if (!account)
    return answer;
  account->renewed_at = now;
  int64_t returned = min_amount (ask->returned, account->granted);
  account->returned = max_amount (account->returned, returned);
  int64_t more = ask->wanted - account->granted;
  if (more > 0)
    account->granted += grant_amount (escrow, more, now);
  answer.granted = account->granted;
  answer.recall = recall_amount (escrow, account, now);
  return answer;
}
