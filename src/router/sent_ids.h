/* sent_ids: which request ids were sent on a connection, as a Bloom filter.
   It never misses an id that was sent; of others it takes up to one in 1,000
   for one that was.  Pure.  */

#ifndef ROUTER_SENT_IDS_H
#define ROUTER_SENT_IDS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  SENT_IDS_MAX = 500, /* a connection carries no more requests */
  SENT_IDS_BITS = 8192,
  SENT_IDS_WORD_BITS = 64,
};

/* All zero at first.  */
typedef struct sent_ids
{
  unsigned int n; /* that were added */
  uint64_t words[SENT_IDS_BITS / SENT_IDS_WORD_BITS];
} sent_ids_t;

void sent_ids_add (sent_ids_t *sent, const char *id);

/* Whether ID may have been added; if false, it was not.  */
bool sent_ids_may_contain (const sent_ids_t *sent, const char *id);

/* Whether no more ids should be added: too many others would be taken for
   them.  */
bool sent_ids_is_full (const sent_ids_t *sent);

#endif
