#include "entry/exchange.h"

#include <stdlib.h>
#include <string.h>

exchange_t *
exchange_new (void)
{
  exchange_t *exchange = calloc (1, sizeof *exchange);
  if (!exchange)
    abort ();
  atomic_init (&exchange->references, 1);
  exchange->service = TOPOLOGY_NONE;
  exchange->caller_fd = -1;
  return exchange;
}

void
exchange_ref (exchange_t *exchange)
{
  atomic_fetch_add (&exchange->references, 1);
}

void
exchange_free (exchange_t *exchange)
{
  if (atomic_fetch_sub (&exchange->references, 1) > 1)
    return;
  free (exchange->body);
  free (exchange->answer);
  free (exchange);
}

bool
exchange_is_idempotent (const exchange_t *exchange)
{
  return strcmp (exchange->method, "GET") == 0
         || strcmp (exchange->method, "HEAD") == 0;
}

void
exchange_add_body (exchange_t *exchange, const char *data, size_t length,
                   size_t limit)
{
  if (exchange->body_bytes + length > limit)
    {
      exchange->is_body_too_long = true;
      return;
    }
  char *grown = realloc (exchange->body, exchange->body_bytes + length);
  if (!grown)
    abort ();
  memcpy (grown + exchange->body_bytes, data, length);
  exchange->body = grown;
  exchange->body_bytes += length;
}

const char *
exchange_outcome_name (exchange_outcome_t outcome)
{
  switch (outcome)
    {
    case EXCHANGE_ANSWER:
      return "answer";
    case EXCHANGE_NOT_RUN:
      return "not-run";
    case EXCHANGE_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}
