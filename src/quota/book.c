#include "quota/book.h"

#include <stdlib.h>
#include <string.h>

#include "base/sorted_array.h"

/* Accounts used within this time are told to other directors; the bucket of
   one that was not is known to be full soon.  */
#define RECENT_TIME (10 * USEC_PER_SEC)
/* An account that is not used for this long is forgotten.  No message takes as
   long.  */
#define IDLE_TIME (600 * USEC_PER_SEC)

static void
clear_entry (book_entry_t *entry)
{
  free (entry->peers);
}

void
book_clear (book_t *book)
{
  for (size_t i = 0; i < book->n; i++)
    clear_entry (&book->entries[i]);
  free (book->entries);
  free (book->limits);
  *book = (book_t){ 0 };
}

static book_entry_t *
find (const book_t *book, uint64_t account)
{
  return sorted_array_find (book->entries, book->n, sizeof *book->entries,
                            account);
}

/* ACCOUNT's quota; NULL if it has none.  */
static const book_limit_t *
find_limit (const book_t *book, uint64_t account)
{
  return sorted_array_find (book->limits, book->n_limits, sizeof *book->limits,
                            account);
}

/* ACCOUNT's entry, which is new where there was none; NULL if it has no quota,
   or the book is full.  A new bucket starts half full, as nothing is known of
   what was admitted before.  */
static book_entry_t *
find_or_insert (book_t *book, uint64_t account, usec_t now)
{
  book_entry_t *entry = find (book, account);
  const book_limit_t *limit = find_limit (book, account);
  if (entry || !limit || book->n == BOOK_ACCOUNTS_MAX)
    return entry;
  size_t at = sorted_array_position (book->entries, book->n,
                                     sizeof *book->entries, account);
  entry = sorted_array_insert ((void **)&book->entries, &book->n,
                               &book->n_allocated, sizeof *book->entries, at);
  *entry = (book_entry_t){ .account = account,
                           .rate = limit->rate,
                           .burst = limit->burst,
                           .level = limit->burst / 2,
                           .level_at = now,
                           .own = { .account = account },
                           .used_at = now };
  return entry;
}

static double
level_at (const book_entry_t *entry, usec_t now)
{
  double level
      = entry->level
        + entry->rate * (double)(now - entry->level_at) / (double)USEC_PER_SEC;
  return level < entry->burst ? level : entry->burst;
}

static void
take (book_entry_t *entry, int64_t admitted, usec_t now)
{
  entry->level = level_at (entry, now) - (double)admitted;
  entry->level_at = now;
  entry->used_at = now;
}

/* Remove the entries for which KEEP is false.  */
static void
filter (book_t *book, const bool *keep)
{
  size_t n = 0;
  for (size_t i = 0; i < book->n; i++)
    if (keep[i])
      book->entries[n++] = book->entries[i];
    else
      clear_entry (&book->entries[i]);
  book->n = n;
}

static void
read_limits (book_t *book, const route_config_t *config)
{
  free (book->limits);
  book->n_limits = 0;
  book->limits = calloc (config->n_accounts + 1, sizeof *book->limits);
  if (!book->limits)
    abort ();
  for (size_t i = 0; i < config->n_accounts; i++)
    {
      const client_account_t *account = &config->accounts[i];
      if (account->rate > 0)
        book->limits[book->n_limits++]
            = (book_limit_t){ .account = account->id,
                              .rate = account->rate,
                              .burst = account->burst };
    }
  qsort (book->limits, book->n_limits, sizeof *book->limits,
         sorted_array_compare);
}

void
book_set_limits (book_t *book, const route_config_t *config, usec_t now)
{
  static bool keep[BOOK_ACCOUNTS_MAX];
  read_limits (book, config);
  for (size_t i = 0; i < book->n; i++)
    {
      book_entry_t *entry = &book->entries[i];
      const book_limit_t *limit = find_limit (book, entry->account);
      keep[i] = limit != NULL;
      if (!limit)
        continue;
      entry->level = level_at (entry, now);
      entry->level_at = now;
      entry->rate = limit->rate;
      entry->burst = limit->burst;
    }
  filter (book, keep);
}

void
book_expire (book_t *book, usec_t now)
{
  static bool keep[BOOK_ACCOUNTS_MAX];
  for (size_t i = 0; i < book->n; i++)
    keep[i] = now - book->entries[i].used_at < IDLE_TIME;
  filter (book, keep);
}

void
book_report (book_t *book, const quota_usage_t *usages, size_t n, usec_t now)
{
  for (size_t i = 0; i < n; i++)
    {
      const quota_usage_t *usage = &usages[i];
      book_entry_t *entry = find_or_insert (book, usage->account, now);
      if (!entry)
        continue;
      take (entry, usage->admitted, now);
      quota_demand_add (&entry->demand, (double)usage->asked, now);
      book->used_at = now;
      entry->own.admitted += usage->admitted;
      entry->own.asked += usage->asked;
    }
}

static quota_state_t
state_of (const book_entry_t *entry, usec_t now)
{
  return (quota_state_t){ .account = entry->account,
                          .level = level_at (entry, now),
                          .demand = quota_demand_at (&entry->demand, now) };
}

static bool
has_state (const quota_state_t *states, size_t n, uint64_t account)
{
  for (size_t i = 0; i < n; i++)
    if (states[i].account == account)
      return true;
  return false;
}

size_t
book_states (const book_t *book, const quota_usage_t *usages, size_t n,
             quota_state_t *states, usec_t now)
{
  size_t n_states = 0;
  for (size_t i = 0; i < n; i++)
    {
      const book_entry_t *entry = find (book, usages[i].account);
      if (entry)
        states[n_states++] = state_of (entry, now);
    }
  size_t n_reported = n_states;
  for (size_t i = 0; i < book->n && n_states < QUOTA_USAGES_MAX; i++)
    if (level_at (&book->entries[i], now) < 0
        && !has_state (states, n_reported, book->entries[i].account))
      states[n_states++] = state_of (&book->entries[i], now);
  return n_states;
}

bool
book_is_used (const book_t *book, usec_t now)
{
  return book->used_at > 0 && now - book->used_at < RECENT_TIME;
}

static bool
is_recent (const book_entry_t *entry, usec_t now)
{
  return now - entry->used_at < RECENT_TIME;
}

/* The entries of the next message begin after those of the last one.  */
static book_entry_t *
entry_of_message (book_t *book, size_t i)
{
  return &book->entries[(book->next + i) % book->n];
}

size_t
book_totals (book_t *book, book_total_t *totals, size_t max, usec_t now)
{
  size_t n = 0;
  size_t i = 0;
  for (; i < book->n && n < max; i++)
    {
      const book_entry_t *entry = entry_of_message (book, i);
      if (entry->own.asked > 0 && is_recent (entry, now))
        totals[n++] = entry->own;
    }
  if (book->n > 0)
    book->next = (book->next + i) % book->n;
  return n;
}

static book_total_t *
included_of (book_entry_t *entry, size_t slot)
{
  if (slot >= entry->n_peers)
    {
      entry->peers = realloc (entry->peers, (slot + 1) * sizeof *entry->peers);
      if (!entry->peers)
        abort ();
      memset (&entry->peers[entry->n_peers], 0,
              (slot + 1 - entry->n_peers) * sizeof *entry->peers);
      entry->n_peers = slot + 1;
    }
  return &entry->peers[slot];
}

static void
forget_included (book_t *book, size_t slot)
{
  for (size_t i = 0; i < book->n; i++)
    if (slot < book->entries[i].n_peers)
      book->entries[i].peers[slot] = (book_total_t){ 0 };
}

/* Whether totals of SOURCE are newer than the last ones from its slot.  */
static bool
is_newer (const book_source_t *last, const book_source_t *source)
{
  return last->incarnation != source->incarnation
         || source->sent_at > last->sent_at;
}

static void
count_difference (book_entry_t *entry, const book_total_t *from,
                  const book_total_t *to, usec_t now)
{
  take (entry, to->admitted - from->admitted, now);
  quota_demand_add (&entry->demand, (double)(to->asked - from->asked), now);
}

void
book_add_totals (book_t *book, const book_source_t *source,
                 const book_total_t *totals, size_t n, usec_t now)
{
  if (source->slot >= BOOK_PEERS_MAX
      || !is_newer (&book->sources[source->slot], source))
    return;
  /* What a director that was not heard before has counted so far may be long
     ago.  */
  bool is_baseline = book->sources[source->slot].incarnation == 0;
  if (book->sources[source->slot].incarnation != source->incarnation)
    forget_included (book, source->slot);
  book->sources[source->slot] = *source;
  for (size_t i = 0; i < n; i++)
    {
      bool is_new = !find (book, totals[i].account);
      book_entry_t *entry = find_or_insert (book, totals[i].account, now);
      if (!entry)
        continue;
      book_total_t *included = included_of (entry, source->slot);
      /* The director had forgotten the account.  */
      if (totals[i].asked < included->asked)
        *included = (book_total_t){ 0 };
      if (!is_baseline && !is_new)
        count_difference (entry, included, &totals[i], now);
      book->used_at = now;
      *included = totals[i];
    }
}

size_t
book_share (book_t *book, size_t peer, book_shared_t *shared, size_t max,
            usec_t now)
{
  size_t n = 0;
  size_t i = 0;
  for (; i < book->n && n < max; i++)
    {
      const book_entry_t *entry = entry_of_message (book, i);
      if (!is_recent (entry, now))
        continue;
      shared[n] = (book_shared_t){ .state = state_of (entry, now) };
      if (peer < entry->n_peers)
        shared[n].included = entry->peers[peer].admitted;
      n++;
    }
  if (i < book->n)
    book->next = (book->next + i) % book->n;
  return n;
}

/* What the follower's routers admitted and the leader's bucket lacks.  It may
   seem less than none where either has forgotten the account.  */
static int64_t
missing_in (const book_entry_t *entry, const book_shared_t *shared)
{
  int64_t missing = entry->own.admitted - shared->included;
  return missing > 0 ? missing : 0;
}

void
book_adopt (book_t *book, const book_shared_t *shared, size_t n, usec_t now)
{
  for (size_t i = 0; i < n; i++)
    {
      const quota_state_t *state = &shared[i].state;
      book_entry_t *entry = find_or_insert (book, state->account, now);
      if (!entry)
        continue;
      entry->level = state->level - (double)missing_in (entry, &shared[i]);
      entry->level_at = now;
      entry->demand = (quota_demand_t){ .rate = state->demand, .at = now };
      entry->used_at = now;
    }
}
