#include "router/request_headers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "platform_api.h"
#include "router/carry_headers.h"

enum
{
  HEADER_LINE_BYTES = 1024, /* longer ones are allocated on the heap */
};

typedef struct header_copy
{
  struct curl_slist *list;
  bool has_accept;
  bool hides_key; /* the configuration names client accounts */
} header_copy_t;

/* Hop-by-hop headers, and those that the router sets, are not forwarded.  */
static bool
is_forwarded (const char *name)
{
  static const char *const excluded[] = {
    "Connection",       "Keep-Alive",    "Transfer-Encoding", "Content-Length",
    "Proxy-Connection", "Trailer",       "Upgrade",           "TE",
    "Expect",           HEADER_DEADLINE, HEADER_BACKEND_ID,   HEADER_CARRIED
  };
  for (size_t i = 0; i < sizeof excluded / sizeof excluded[0]; i++)
    if (strcasecmp (name, excluded[i]) == 0)
      return false;
  return true;
}

/* The backend server gets the account's name in place of the key.  */
static bool
tells_account (const char *name)
{
  return strcasecmp (name, HEADER_KEY) == 0
         || strcasecmp (name, HEADER_ACCOUNT) == 0;
}

static void
add_header (header_copy_t *copy, const char *name, const char *value)
{
  size_t size = strlen (name) + strlen (value) + 3;
  char small[HEADER_LINE_BYTES];
  char *line = size <= sizeof small ? small : malloc (size);
  if (!line)
    abort ();
  /* libcurl sends a header with an empty value only if its line is the name
     and a ';'.  */
  if (*value)
    snprintf (line, size, "%s: %s", name, value);
  else
    snprintf (line, size, "%s;", name);
  copy->list = curl_slist_append (copy->list, line);
  if (line != small)
    free (line);
}

static void
forward_header (header_copy_t *copy, const char *name, const char *value)
{
  if (!is_forwarded (name) || (copy->hides_key && tells_account (name)))
    return;
  copy->has_accept = copy->has_accept || strcasecmp (name, "Accept") == 0;
  add_header (copy, name, value);
}

/* Copy the fields of EXCHANGE's head, and the time that is left at NOW.  */
static void
forward_head (header_copy_t *copy, const exchange_t *exchange, usec_t now)
{
  char time_left[32];
  for (size_t i = 0; i < exchange->head.n_fields; i++)
    forward_header (copy, request_field_name (&exchange->head, i),
                    request_field_value (&exchange->head, i));
  snprintf (time_left, sizeof time_left, "%lld",
            (long long)((exchange->deadline - now) / USEC_PER_MSEC));
  add_header (copy, HEADER_DEADLINE, time_left);
}

/* Keep libcurl from adding fields of its own.  */
static struct curl_slist *
finish_head (const header_copy_t *copy, const exchange_t *exchange)
{
  struct curl_slist *list = curl_slist_append (copy->list, "Expect:");
  if (!copy->has_accept)
    list = curl_slist_append (list, "Accept:");
  /* It adds one even if there is no body.  */
  if (!request_head_field (&exchange->head, "Content-Type"))
    list = curl_slist_append (list, "Content-Type:");
  return list;
}

struct curl_slist *
request_headers (const exchange_t *exchange, const backend_t *backend,
                 usec_t now)
{
  header_copy_t copy
      = { .hides_key = exchange->snapshot->config->has_accounts };
  forward_head (&copy, exchange, now);
  add_header (&copy, HEADER_BACKEND_ID, backend->record.id);
  if (exchange->account)
    add_header (&copy, HEADER_ACCOUNT, exchange->account->name.text);
  return finish_head (&copy, exchange);
}

struct curl_slist *
request_headers_carry (const exchange_t *exchange, uint32_t n_attempts,
                       usec_t now)
{
  header_copy_t copy = { 0 };
  char attempts[16];
  forward_head (&copy, exchange, now);
  snprintf (attempts, sizeof attempts, "%u", n_attempts);
  add_header (&copy, HEADER_CARRIED, attempts);
  return finish_head (&copy, exchange);
}

struct curl_slist *
request_headers_probe (const backend_t *backend)
{
  header_copy_t copy = { 0 };
  char host[INET_TEXT_BYTES];
  inet_format (&backend->record.address, host);
  add_header (&copy, "Host", host);
  return curl_slist_append (copy.list, "Accept:");
}
