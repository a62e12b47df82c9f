/* head_bound: bounds the heads and trailers of one HTTP transfer.

   libcurl keeps each line of the head, of informational responses and of the
   trailers until the handle's next transfer, and bounds a line, but not how
   many trailers there are.  */

#ifndef WIRE_HEAD_BOUND_H
#define WIRE_HEAD_BOUND_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
  HEAD_BOUND_BYTES = 64 * 1024, /* heads and trailers of a transfer */
};

/* All zero at first, and again before each transfer.  */
typedef struct head_bound
{
  size_t n_bytes;
} head_bound_t;

/* Count a line of LENGTH bytes.  False if the transfer has to end.  */
bool head_bound_add (head_bound_t *bound, size_t length);

bool head_bound_is_exceeded (const head_bound_t *bound);

/* End EASY's transfers at the bound; for those whose heads are not read
   otherwise.  BOUND must stay valid as long as EASY.  */
void head_bound_watch (head_bound_t *bound, CURL *easy);

#endif
