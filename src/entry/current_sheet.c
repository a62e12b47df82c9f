#include "entry/current_sheet.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "shift/sheet.h"

struct current_sheet
{
  pthread_rwlock_t lock; /* guards the sheet */
  sheet_t *sheet;
  entry_metrics_t *metrics; /* NULL: none */
};

current_sheet_t *
current_sheet_new (void)
{
  current_sheet_t *current = calloc (1, sizeof *current);
  if (!current)
    abort ();
  pthread_rwlock_init (&current->lock, NULL);
  return current;
}

void
current_sheet_set_metrics (current_sheet_t *current, entry_metrics_t *metrics)
{
  current->metrics = metrics;
}

void
current_sheet_free (current_sheet_t *current)
{
  sheet_free (current->sheet);
  pthread_rwlock_destroy (&current->lock);
  free (current);
}

bool
current_sheet_apply (current_sheet_t *current, sheet_t *sheet)
{
  pthread_rwlock_wrlock (&current->lock);
  bool is_newer = !current->sheet || sheet->number > current->sheet->number;
  sheet_t *old = is_newer ? current->sheet : sheet;
  if (is_newer)
    current->sheet = sheet;
  if (is_newer && current->metrics)
    entry_metrics_set_sheet (current->metrics, sheet->number);
  pthread_rwlock_unlock (&current->lock);
  sheet_free (old);
  return is_newer;
}

uint64_t
current_sheet_number (current_sheet_t *current)
{
  pthread_rwlock_rdlock (&current->lock);
  uint64_t version = current->sheet ? current->sheet->number : 0;
  pthread_rwlock_unlock (&current->lock);
  return version;
}

static void *
copy_array (const void *from, size_t n, size_t item_bytes)
{
  void *to = calloc (n + 1, item_bytes);
  if (!to)
    abort ();
  if (n > 0)
    memcpy (to, from, n * item_bytes);
  return to;
}

sheet_t *
current_sheet_copy (current_sheet_t *current)
{
  pthread_rwlock_rdlock (&current->lock);
  const sheet_t *sheet = current->sheet;
  sheet_t *copy = NULL;
  if (sheet)
    {
      copy = copy_array (sheet, 1, sizeof *sheet);
      copy->backends = copy_array (sheet->backends, sheet->n_backends,
                                   sizeof *sheet->backends);
      copy->shares
          = copy_array (sheet->shares, sheet->n_shares, sizeof *sheet->shares);
      copy->prices
          = copy_array (sheet->prices, sheet->n_prices, sizeof *sheet->prices);
    }
  pthread_rwlock_unlock (&current->lock);
  return copy;
}

bool
current_sheet_cost_cap (current_sheet_t *current, uint64_t *budget,
                        money_t *cost_cap)
{
  pthread_rwlock_rdlock (&current->lock);
  const sheet_t *sheet = current->sheet;
  if (sheet)
    {
      *budget = sheet->budget;
      *cost_cap = sheet->cost_cap;
    }
  pthread_rwlock_unlock (&current->lock);
  return sheet != NULL;
}

money_t
current_sheet_price (current_sheet_t *current, service_id_t service,
                     region_id_t region)
{
  money_t price = 0;
  pthread_rwlock_rdlock (&current->lock);
  const sheet_t *sheet = current->sheet;
  for (size_t i = 0; sheet && i < sheet->n_prices; i++)
    if (sheet->prices[i].service == service
        && sheet->prices[i].region == region)
      price = sheet->prices[i].per_thousand;
  pthread_rwlock_unlock (&current->lock);
  return price;
}
