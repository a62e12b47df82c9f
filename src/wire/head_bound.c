#include "wire/head_bound.h"

bool
head_bound_add (head_bound_t *bound, size_t length)
{
  bound->n_bytes += length;
  return !head_bound_is_exceeded (bound);
}

bool
head_bound_is_exceeded (const head_bound_t *bound)
{
  return bound->n_bytes > HEAD_BOUND_BYTES;
}

static size_t
on_line (char *data, size_t size, size_t n, void *closure)
{
  (void)data;
  size_t length = size * n;
  return head_bound_add (closure, length) ? length : 0;
}

void
head_bound_watch (head_bound_t *bound, CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_line);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, bound);
}
