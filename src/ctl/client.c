#include "ctl/client.h"

#include <curl/curl.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#include "base/clock.h"
#include "ctl/download.h"

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  PAUSE_MS = 200, /* between rounds over all VMs */
  REPLY_BYTES_MAX = 8 * 1024 * 1024,
  VM_BYTES = 32,
  URL_BYTES = 512,
  STATUS_UNAVAILABLE = 503,
  STATUS_NO_ANSWER = 504,
  STATUS_UNSIGNED = 401,
  SIGN_TRIES = 3, /* at one VM */
};

/* One try at one VM.  */
typedef struct attempt
{
  const client_options_t *options;
  const client_request_t *request;
  char vm[VM_BYTES];
  char header[CREDENTIAL_HEADER_BYTES];
  char signature[CREDENTIAL_ANSWER_BYTES];
  download_t body;
  unsigned status;
} attempt_t;

typedef enum
{
  ATTEMPT_FINAL,
  ATTEMPT_NOT_SENT, /* no connection */
  ATTEMPT_NO_ANSWER,
  ATTEMPT_FORGED,
} attempt_end_t;

static size_t
take_header (char *line, size_t size, size_t n, void *closure)
{
  static const char key[] = CREDENTIAL_ANSWER_HEADER ": ";
  attempt_t *attempt = closure;
  size_t length = size * n;
  const size_t value_bytes = sizeof attempt->signature - 1;
  if (length >= strlen (key) + value_bytes
      && strncasecmp (line, key, strlen (key)) == 0)
    {
      memcpy (attempt->signature, line + strlen (key), value_bytes);
      attempt->signature[value_bytes] = '\0';
    }
  return length;
}

static struct curl_slist *
attempt_sign (attempt_t *attempt)
{
  const client_request_t *request = attempt->request;
  const credential_request_t covered = { .method = request->method,
                                         .target = request->target,
                                         .vm = attempt->vm,
                                         .body = request->body,
                                         .body_bytes = request->body_bytes };
  unsigned char nonce[CREDENTIAL_NONCE_BYTES];
  if (RAND_bytes (nonce, sizeof nonce) != 1)
    return NULL;
  credential_sign (attempt->options->credential, &covered, clock_wall (),
                   nonce, attempt->header);
  char line[CREDENTIAL_HEADER_BYTES + 32];
  snprintf (line, sizeof line, "Authorization: %s", attempt->header);
  struct curl_slist *headers = curl_slist_append (NULL, line);
  headers = curl_slist_append (headers, "Expect:");
  return curl_slist_append (headers, "Content-Type: text/csv");
}

static void
attempt_set_up (attempt_t *attempt, CURL *curl,
                const struct curl_slist *headers, usec_t left)
{
  const client_request_t *request = attempt->request;
  char url[URL_BYTES];
  snprintf (url, sizeof url, "http://%s%s", attempt->vm, request->target);
  const usec_t try_timeout = attempt->options->try_timeout;
  long timeout
      = (long)((left < try_timeout ? left : try_timeout) / USEC_PER_MSEC) + 1;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS,
                    timeout < CONNECT_TIMEOUT_MS ? timeout
                                                 : CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, attempt);
  download_into (&attempt->body, curl);
  if (request->body)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request->body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body_bytes);
    }
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request->method);
}

static attempt_end_t
attempt_judge (attempt_t *attempt)
{
  if (attempt->status == STATUS_UNSIGNED)
    return ATTEMPT_FINAL;
  if (!credential_check_answer (attempt->options->credential, attempt->header,
                                attempt->status, attempt->body.text,
                                attempt->body.length, attempt->signature))
    return ATTEMPT_FORGED;
  if (attempt->status == STATUS_UNAVAILABLE
      || attempt->status == STATUS_NO_ANSWER)
    return ATTEMPT_NO_ANSWER;
  return ATTEMPT_FINAL;
}

static attempt_end_t
attempt_run (attempt_t *attempt, usec_t left)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = attempt_sign (attempt);
  attempt_end_t end = ATTEMPT_NOT_SENT;
  if (curl && headers)
    {
      attempt_set_up (attempt, curl, headers, left);
      CURLcode code = curl_easy_perform (curl);
      long status = 0;
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
      attempt->status = (unsigned)status;
      if (code == CURLE_OK)
        end = attempt_judge (attempt);
      else if (code != CURLE_COULDNT_CONNECT)
        end = ATTEMPT_NO_ANSWER;
    }
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return end;
}

static void
pause_between_rounds (usec_t left)
{
  usec_t pause = PAUSE_MS * USEC_PER_MSEC;
  if (left < pause)
    pause = left;
  if (pause <= 0)
    return;
  const struct timespec span = { .tv_nsec = pause * 1000 };
  nanosleep (&span, NULL);
}

/* What all tries came to.  */
typedef struct outcome
{
  bool sent;
  bool forged;
} outcome_t;

static bool
outcome_error (const outcome_t *outcome, const client_options_t *options,
               err_t *err)
{
  if (outcome->forged)
    return err_set (err, ERR_AUTH, "compare the key file with control's",
                    "an answer carried no signature of our key");
  if (outcome->sent)
    return err_set (err, ERR_TIMEOUT,
                    "send it again: the same number and content is safe",
                    "no final answer in %.1f s; it may have been carried out",
                    (double)options->timeout / USEC_PER_SEC);
  return err_set (
      err, ERR_UNAVAILABLE, "check that control runs, and the path to it",
      "none of %zu control VMs can be reached", options->n_addresses);
}

/* Try ADDRESS.  A refused signature is made anew a few times: a VM refuses
   what was signed before its own start, and it may just have started.  */
static attempt_end_t
attempt_signed (attempt_t *attempt, usec_t end)
{
  attempt_end_t result = ATTEMPT_NOT_SENT;
  for (int i = 0; i < SIGN_TRIES; i++)
    {
      usec_t left = end - clock_monotonic ();
      if (i > 0 && left <= 0)
        break;
      free (attempt->body.text);
      attempt->body = (download_t){ .limit = REPLY_BYTES_MAX };
      result = attempt_run (attempt, left);
      if (result != ATTEMPT_FINAL || attempt->status != STATUS_UNSIGNED)
        break;
    }
  return result;
}

/* True where ADDRESS gave the final answer, in REPLY.  */
static bool
ask_one (const client_options_t *options, const client_request_t *request,
         const char *address, usec_t end, client_reply_t *reply,
         outcome_t *outcome)
{
  attempt_t attempt = { .options = options, .request = request };
  snprintf (attempt.vm, sizeof attempt.vm, "%s:%u", address, options->port);
  attempt_end_t result = attempt_signed (&attempt, end);
  if (result == ATTEMPT_FINAL)
    {
      *reply = (client_reply_t){ .status = attempt.status,
                                 .length = attempt.body.length,
                                 .address = address };
      reply->body = download_take (&attempt.body);
      return true;
    }
  free (attempt.body.text);
  outcome->sent = outcome->sent || result == ATTEMPT_NO_ANSWER;
  outcome->forged = outcome->forged || result == ATTEMPT_FORGED;
  return false;
}

bool
client_ask (const client_options_t *options, const client_request_t *request,
            client_reply_t *reply, err_t *err)
{
  usec_t end = clock_monotonic () + options->timeout;
  outcome_t outcome = { 0 };
  for (;;)
    {
      for (size_t i = 0; i < options->n_addresses; i++)
        {
          if (clock_monotonic () >= end)
            return outcome_error (&outcome, options, err);
          if (ask_one (options, request, options->addresses[i], end, reply,
                       &outcome))
            return true;
        }
      pause_between_rounds (end - clock_monotonic ());
    }
}

void
client_reply_free (client_reply_t *reply)
{
  free (reply->body);
  reply->body = NULL;
}
