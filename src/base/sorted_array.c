#include "base/sorted_array.h"

#include <stdlib.h>
#include <string.h>

static uint64_t
key_of (const void *item)
{
  uint64_t key;
  memcpy (&key, item, sizeof key);
  return key;
}

size_t
sorted_array_position (const void *items, size_t n, size_t item_bytes,
                       uint64_t key)
{
  size_t low = 0;
  size_t high = n;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (key_of ((const char *)items + middle * item_bytes) < key)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

void *
sorted_array_find (const void *items, size_t n, size_t item_bytes,
                   uint64_t key)
{
  size_t at = sorted_array_position (items, n, item_bytes, key);
  if (at == n)
    return NULL;
  char *item = (char *)(uintptr_t)items + at * item_bytes;
  return key_of (item) == key ? item : NULL;
}

void *
sorted_array_insert (void **items, size_t *n, size_t *n_allocated,
                     size_t item_bytes, size_t at)
{
  if (*n == *n_allocated)
    {
      *n_allocated = 2 * *n_allocated + 16;
      *items = realloc (*items, *n_allocated * item_bytes);
      if (!*items)
        abort ();
    }
  char *item = (char *)*items + at * item_bytes;
  memmove (item + item_bytes, item, (*n - at) * item_bytes);
  ++*n;
  return item;
}

int
sorted_array_compare (const void *a, const void *b)
{
  uint64_t left = key_of (a);
  uint64_t right = key_of (b);
  return left < right ? -1 : left > right;
}
