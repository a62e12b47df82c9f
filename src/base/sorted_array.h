/* sorted_array: arrays whose items begin with a `uint64_t` key, ordered by it.
   The keys may repeat.  */

#ifndef BASE_SORTED_ARRAY_H
#define BASE_SORTED_ARRAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Returns the index of the first of the N items at ITEMS, of ITEM_BYTES each,
   whose key is KEY or more; N if there is none.  */
size_t sorted_array_position (const void *items, size_t n, size_t item_bytes,
                              uint64_t key);

/* Returns the first item with KEY, or NULL.  */
void *sorted_array_find (const void *items, size_t n, size_t item_bytes,
                         uint64_t key);

/* Makes room for an item before the item AT of the *N items at *ITEMS, which
   is allocated with malloc for *N_ALLOCATED items and grows.  Returns the new
   item, which is not initialized, and counts it in *N.  */
void *sorted_array_insert (void **items, size_t *n, size_t *n_allocated,
                           size_t item_bytes, size_t at);

/* Compares two items by their keys, for qsort.  */
int sorted_array_compare (const void *a, const void *b);

#endif
