#include "entry/backend_client.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/ring.h"

enum
{
  POLL_MSEC = 100,
  URL_BYTES = EXCHANGE_TARGET_BYTES + 64,
  HEADER_LINE_BYTES = EXCHANGE_HEADER_BYTES + 64,
  CONNECTIONS_CACHED = 1024,
  STATUS_SHED = 503,
};

/* One attempt of an exchange at a backend server.  */
typedef struct attempt
{
  list_t link;
  backend_client_t *client;
  exchange_t *exchange;
  CURL *easy;
  struct curl_slist *headers;
  unsigned int transmissions; /* connections that it was put on */
  size_t answer_size;
  bool id_matches;
  bool not_started; /* the backend server refused before starting */
  bool framed;      /* the answer's length is told */
  bool answer_too_long;
} attempt_t;

struct backend_client
{
  backend_client_options_t options;
  CURLM *multi;
  ring_t *ring;
  list_t idle; /* attempts with an easy handle to use again */
  list_t busy;
  pthread_t thread;
  atomic_bool stop;
};

static size_t
on_body (char *data, size_t size, size_t n, void *closure)
{
  attempt_t *attempt = closure;
  exchange_t *exchange = attempt->exchange;
  size_t length = size * n;
  size_t needed = exchange->answer_bytes + length;
  if (needed > attempt->client->options.answer_bytes_max)
    {
      attempt->answer_too_long = true;
      return 0;
    }
  if (needed > attempt->answer_size)
    {
      size_t room = needed < 4096 ? 4096 : 2 * needed;
      char *grown = realloc (exchange->answer, room);
      if (!grown)
        abort ();
      exchange->answer = grown;
      attempt->answer_size = room;
    }
  memcpy (exchange->answer + exchange->answer_bytes, data, length);
  exchange->answer_bytes = needed;
  return length;
}

/* The value of the header NAME in LINE; NULL where it is another header.  */
static const char *
header_value (const char *line, const char *name)
{
  size_t length = strlen (name);
  if (strncasecmp (line, name, length) != 0 || line[length] != ':')
    return NULL;
  line += length + 1;
  return line + strspn (line, " \t");
}

static size_t
on_header (char *data, size_t size, size_t n, void *closure)
{
  attempt_t *attempt = closure;
  char line[HEADER_LINE_BYTES];
  size_t length = size * n;
  if (length >= sizeof line)
    return length;
  memcpy (line, data, length);
  line[length] = '\0';
  line[strcspn (line, "\r\n")] = '\0';
  const char *value;
  if ((value = header_value (line, "X-Request-Id")))
    attempt->id_matches = strcmp (value, attempt->exchange->id) == 0;
  else if ((value = header_value (line, "X-Not-Started")))
    attempt->not_started = strcmp (value, "1") == 0;
  else if (header_value (line, "Content-Length")
           || header_value (line, "Transfer-Encoding"))
    attempt->framed = true;
  else if ((value = header_value (line, "Content-Type")))
    snprintf (attempt->exchange->answer_type,
              sizeof attempt->exchange->answer_type, "%.*s",
              EXCHANGE_HEADER_BYTES - 1, value);
  return length;
}

/* libcurl asks this whenever it has put the request on a connection; a second
   time would be a run of its own making.  */
static int
on_transmission (void *closure, char *remote, char *local, int remote_port,
                 int local_port)
{
  (void)remote;
  (void)local;
  (void)remote_port;
  (void)local_port;
  attempt_t *attempt = closure;
  attempt->transmissions++;
  if (attempt->transmissions > 1
      && !exchange_is_idempotent (attempt->exchange))
    return CURL_PREREQFUNC_ABORT;
  return CURL_PREREQFUNC_OK;
}

static void
add_header (attempt_t *attempt, const char *name, const char *value)
{
  if (!*value)
    return;
  char line[HEADER_LINE_BYTES];
  snprintf (line, sizeof line, "%s: %s", name, value);
  attempt->headers = curl_slist_append (attempt->headers, line);
}

static void
attempt_headers (attempt_t *attempt, usec_t left)
{
  const exchange_t *exchange = attempt->exchange;
  char number[32];
  snprintf (number, sizeof number, "%lld", (long long)(left / USEC_PER_MSEC));
  add_header (attempt, "X-Request-Id", exchange->id);
  add_header (attempt, "X-Deadline-Ms", number);
  add_header (attempt, "X-Caller-Request-Id", exchange->caller_id);
  add_header (attempt, "Idempotency-Key", exchange->ticket);
  add_header (attempt, "Content-Type", exchange->content_type);
  attempt->headers = curl_slist_append (attempt->headers, "Expect:");
}

static void
attempt_method (attempt_t *attempt)
{
  const exchange_t *exchange = attempt->exchange;
  CURL *easy = attempt->easy;
  if (strcmp (exchange->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (strcmp (exchange->method, "GET") == 0)
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  else
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, exchange->method);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)exchange->body_bytes);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        exchange->body ? exchange->body : "");
    }
}

static void
attempt_options (attempt_t *attempt, usec_t left)
{
  const backend_client_options_t *options = &attempt->client->options;
  const backend_t *backend = &attempt->exchange->backend;
  CURL *easy = attempt->easy;
  char url[URL_BYTES];
  snprintf (url, sizeof url, "http://%s:%u%s", backend->address, backend->port,
            attempt->exchange->service_path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_INTERFACE, options->address);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)(left / USEC_PER_MSEC + 1));
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN,
                    (long)(options->connection_idle / USEC_PER_SEC + 1));
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_transmission);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, attempt);
  attempt_method (attempt);
  attempt_headers (attempt, left);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, attempt->headers);
}

static attempt_t *
attempt_new (backend_client_t *client, exchange_t *exchange)
{
  list_t *link = list_pop_front (&client->idle);
  CURL *easy = NULL;
  attempt_t *attempt = NULL;
  if (link)
    {
      attempt = LIST_ENTRY (link, attempt_t, link);
      easy = attempt->easy;
      curl_easy_reset (easy);
    }
  else
    {
      attempt = malloc (sizeof *attempt);
      easy = curl_easy_init ();
      if (!attempt || !easy)
        abort ();
    }
  *attempt
      = (attempt_t){ .client = client, .exchange = exchange, .easy = easy };
  list_push_back (&client->busy, &attempt->link);
  return attempt;
}

/* Tell the exchange's owner; the easy handle is kept for another attempt.  */
static void
attempt_finish (attempt_t *attempt)
{
  backend_client_t *client = attempt->client;
  exchange_t *exchange = attempt->exchange;
  curl_slist_free_all (attempt->headers);
  attempt->headers = NULL;
  attempt->exchange = NULL;
  list_remove (&attempt->link);
  list_push_front (&client->idle, &attempt->link);
  client->options.done (client->options.closure, exchange);
}

static void
exchange_fail (exchange_t *exchange, bool sent, err_kind_t kind,
               const char *why)
{
  free (exchange->answer);
  exchange->answer = NULL;
  exchange->answer_bytes = 0;
  exchange->outcome = sent ? EXCHANGE_UNKNOWN : EXCHANGE_NOT_RUN;
  err_set (&exchange->reason, kind,
           sent ? "ask again with the same ticket" : "send it again",
           "backend server %s: %s", exchange->backend.name.text, why);
}

/* What the end of a transfer means for the caller.  */
static void
attempt_judge (attempt_t *attempt, CURLcode code)
{
  exchange_t *exchange = attempt->exchange;
  long status = 0;
  curl_easy_getinfo (attempt->easy, CURLINFO_RESPONSE_CODE, &status);
  exchange->status = (unsigned int)status;
  bool sent = attempt->transmissions > 0;
  bool whole = code == CURLE_OK && status > 0
               && (attempt->framed || strcmp (exchange->method, "HEAD") == 0);
  if (whole && !attempt->id_matches)
    exchange_fail (exchange, true, ERR_PROTOCOL,
                   "its answer belongs to another request");
  else if (whole && status == STATUS_SHED && attempt->not_started)
    exchange_fail (exchange, false, ERR_LIMIT, "it refused before starting");
  else if (whole)
    exchange->outcome = EXCHANGE_ANSWER;
  else if (attempt->answer_too_long)
    exchange_fail (exchange, true, ERR_LIMIT, "its answer is too long");
  else if (code == CURLE_OK)
    exchange_fail (exchange, true, ERR_PROTOCOL,
                   "its answer does not tell its length");
  else
    exchange_fail (exchange, sent,
                   code == CURLE_OPERATION_TIMEDOUT ? ERR_TIMEOUT
                                                    : ERR_UNAVAILABLE,
                   curl_easy_strerror (code));
}

static void
client_begin (backend_client_t *client, exchange_t *exchange)
{
  usec_t left = exchange->deadline - clock_monotonic ();
  attempt_t *attempt = attempt_new (client, exchange);
  if (left < USEC_PER_MSEC)
    {
      exchange_fail (exchange, false, ERR_TIMEOUT, "the deadline has passed");
      attempt_finish (attempt);
      return;
    }
  attempt_options (attempt, left);
  curl_multi_add_handle (client->multi, attempt->easy);
}

static void
client_collect (backend_client_t *client)
{
  int left = 0;
  CURLMsg *message;
  while ((message = curl_multi_info_read (client->multi, &left)))
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      CURL *easy = message->easy_handle;
      CURLcode code = message->data.result;
      attempt_t *attempt = NULL;
      curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&attempt);
      attempt_judge (attempt, code);
      curl_multi_remove_handle (client->multi, easy);
      attempt_finish (attempt);
    }
}

static void *
client_run (void *closure)
{
  backend_client_t *client = closure;
  while (!atomic_load (&client->stop))
    {
      exchange_t *exchange;
      while ((exchange = ring_pop (client->ring)))
        client_begin (client, exchange);
      int running = 0;
      curl_multi_perform (client->multi, &running);
      client_collect (client);
      curl_multi_poll (client->multi, NULL, 0, POLL_MSEC, NULL);
    }
  return NULL;
}

backend_client_t *
backend_client_start (const backend_client_options_t *options, err_t *err)
{
  backend_client_t *client = calloc (1, sizeof *client);
  if (!client)
    abort ();
  client->options = *options;
  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                     (long)CONNECTIONS_CACHED);
  client->ring = ring_new (options->in_flight_max);
  list_init (&client->idle);
  list_init (&client->busy);
  if (pthread_create (&client->thread, NULL, client_run, client) == 0)
    return client;
  err_set (err, ERR_IO, "raise the limit of threads",
           "no thread for the backend servers");
  free (client);
  return NULL;
}

void
backend_client_stop (backend_client_t *client)
{
  atomic_store (&client->stop, true);
  curl_multi_wakeup (client->multi);
  pthread_join (client->thread, NULL);
  LIST_FOREACH (link, &client->busy)
  {
    attempt_t *attempt = LIST_ENTRY (link, attempt_t, link);
    curl_multi_remove_handle (client->multi, attempt->easy);
    exchange_fail (attempt->exchange, true, ERR_UNAVAILABLE,
                   "this entry VM is stopping");
    attempt_finish (attempt);
  }
  LIST_FOREACH (link, &client->idle)
  {
    attempt_t *attempt = LIST_ENTRY (link, attempt_t, link);
    curl_easy_cleanup (attempt->easy);
    free (attempt);
  }
  curl_multi_cleanup (client->multi);
  ring_free (client->ring);
  free (client);
}

bool
backend_client_send (backend_client_t *client, exchange_t *exchange)
{
  if (!ring_push (client->ring, exchange))
    return false;
  curl_multi_wakeup (client->multi);
  return true;
}
