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
  ROUND_PAUSE_MS = 200, /* after each round over all VMs */
  REPLY_BYTES_MAX = 8 * 1024 * 1024,
  VM_ADDRESS_BYTES = 32,
  URL_BYTES = 512,
  HTTP_STATUS_SERVICE_UNAVAILABLE = 503,
  HTTP_STATUS_GATEWAY_TIMEOUT = 504,
  HTTP_STATUS_UNAUTHORIZED = 401,
  SIGN_ATTEMPTS_MAX = 3, /* at one VM */
};

/* The attempts to send a request to one VM.  */
typedef struct attempt
{
  const client_options_t *options;
  const client_request_t *request;
  char vm[VM_ADDRESS_BYTES];
  char header[CREDENTIAL_HEADER_BYTES];
  char signature[CREDENTIAL_ANSWER_BYTES];
  download_t body;
  unsigned status;
} attempt_t;

typedef enum
{
  ATTEMPT_FINAL,
  ATTEMPT_NOT_SENT, /* no connection was established */
  ATTEMPT_NO_ANSWER,
  ATTEMPT_BAD_SIGNATURE,
} attempt_result_t;

static size_t
read_signature_header (char *line, size_t size, size_t n, void *closure)
{
  static const char key[] = CREDENTIAL_ANSWER_HEADER ": ";
  attempt_t *attempt = closure;
  size_t length = size * n;
  if (!head_bound_add (&attempt->body.head, length))
    return 0;
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
  const credential_request_t signed_request
      = { .method = request->method,
          .target = request->target,
          .vm = attempt->vm,
          .body = request->body,
          .body_bytes = request->body_bytes };
  unsigned char nonce[CREDENTIAL_NONCE_BYTES];
  if (RAND_bytes (nonce, sizeof nonce) != 1)
    return NULL;
  credential_sign (attempt->options->credential, &signed_request,
                   clock_wall (), nonce, attempt->header);
  char line[CREDENTIAL_HEADER_BYTES + 32];
  snprintf (line, sizeof line, "Authorization: %s", attempt->header);
  struct curl_slist *headers = curl_slist_append (NULL, line);
  headers = curl_slist_append (headers, "Expect:");
  return curl_slist_append (headers, "Content-Type: text/csv");
}

static void
attempt_set_up (attempt_t *attempt, CURL *curl,
                const struct curl_slist *headers, usec_t remaining)
{
  const client_request_t *request = attempt->request;
  char url[URL_BYTES];
  snprintf (url, sizeof url, "http://%s%s", attempt->vm, request->target);
  const usec_t attempt_timeout = attempt->options->attempt_timeout;
  long timeout
      = (long)((remaining < attempt_timeout ? remaining : attempt_timeout)
               / USEC_PER_MSEC)
        + 1;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS,
                    timeout < CONNECT_TIMEOUT_MS ? timeout
                                                 : CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, read_signature_header);
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

static attempt_result_t
attempt_classify (attempt_t *attempt)
{
  if (attempt->status == HTTP_STATUS_UNAUTHORIZED)
    return ATTEMPT_FINAL;
  if (!credential_check_answer (attempt->options->credential, attempt->header,
                                attempt->status, attempt->body.text.bytes,
                                attempt->body.text.length, attempt->signature))
    return ATTEMPT_BAD_SIGNATURE;
  if (attempt->status == HTTP_STATUS_SERVICE_UNAVAILABLE
      || attempt->status == HTTP_STATUS_GATEWAY_TIMEOUT)
    return ATTEMPT_NO_ANSWER;
  return ATTEMPT_FINAL;
}

static attempt_result_t
attempt_run (attempt_t *attempt, usec_t remaining)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = attempt_sign (attempt);
  attempt_result_t result = ATTEMPT_NOT_SENT;
  if (curl && headers)
    {
      attempt_set_up (attempt, curl, headers, remaining);
      CURLcode code = curl_easy_perform (curl);
      long status = 0;
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
      attempt->status = (unsigned)status;
      if (code == CURLE_OK)
        result = attempt_classify (attempt);
      else if (code != CURLE_COULDNT_CONNECT)
        result = ATTEMPT_NO_ANSWER;
    }
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return result;
}

static void
pause_between_rounds (usec_t remaining)
{
  usec_t delay = ROUND_PAUSE_MS * USEC_PER_MSEC;
  if (remaining < delay)
    delay = remaining;
  if (delay <= 0)
    return;
  const struct timespec duration = { .tv_nsec = delay * 1000 };
  nanosleep (&duration, NULL);
}

/* What the attempts at all VMs have shown so far.  */
typedef struct outcome
{
  bool any_sent;          /* a VM may have received the request */
  bool any_bad_signature; /* an answer failed the signature check */
} outcome_t;

static bool
set_send_error (const outcome_t *outcome, const client_options_t *options,
                err_t *err)
{
  if (outcome->any_bad_signature)
    return err_set (
        err, ERR_AUTH,
        "compare the key file with the operators' file of the control VMs",
        "an answer was not signed with the operator's key");
  if (outcome->any_sent)
    return err_set (
        err, ERR_TIMEOUT,
        "send the request again: the same number and content are safe",
        "no final answer within %.1f s; the request may have been carried out",
        (double)options->timeout / USEC_PER_SEC);
  return err_set (
      err, ERR_UNAVAILABLE,
      "check that mulberry-control runs, and the network path to it",
      "none of the %zu control VMs can be reached", options->n_addresses);
}

/* Send the request to one VM; sign and send it again up to SIGN_ATTEMPTS_MAX
   times in all while the VM refuses the signature: a VM refuses signatures
   from before its own start, and it may just have started.  */
static attempt_result_t
attempt_with_fresh_signature (attempt_t *attempt, usec_t deadline)
{
  attempt_result_t result = ATTEMPT_NOT_SENT;
  for (int i = 0; i < SIGN_ATTEMPTS_MAX; i++)
    {
      usec_t remaining = deadline - clock_monotonic ();
      if (i > 0 && remaining <= 0)
        break;
      free (attempt->body.text.bytes);
      attempt->body = (download_t){ .limit = REPLY_BYTES_MAX };
      result = attempt_run (attempt, remaining);
      if (result != ATTEMPT_FINAL
          || attempt->status != HTTP_STATUS_UNAUTHORIZED)
        break;
    }
  return result;
}

/* Send the request to the VM at ADDRESS; true where REPLY holds its final
   answer, else OUTCOME is updated.  */
static bool
send_to_vm (const client_options_t *options, const client_request_t *request,
            const char *address, usec_t deadline, client_reply_t *reply,
            outcome_t *outcome)
{
  attempt_t attempt = { .options = options, .request = request };
  snprintf (attempt.vm, sizeof attempt.vm, "%s:%u", address, options->port);
  attempt_result_t result = attempt_with_fresh_signature (&attempt, deadline);
  if (result == ATTEMPT_FINAL)
    {
      *reply = (client_reply_t){ .status = attempt.status,
                                 .length = attempt.body.text.length,
                                 .address = address };
      reply->body = download_take_text (&attempt.body);
      return true;
    }
  free (attempt.body.text.bytes);
  outcome->any_sent = outcome->any_sent || result == ATTEMPT_NO_ANSWER;
  outcome->any_bad_signature
      = outcome->any_bad_signature || result == ATTEMPT_BAD_SIGNATURE;
  return false;
}

bool
client_send (const client_options_t *options, const client_request_t *request,
             client_reply_t *reply, err_t *err)
{
  usec_t deadline = clock_monotonic () + options->timeout;
  outcome_t outcome = { 0 };
  for (;;)
    {
      for (size_t i = 0; i < options->n_addresses; i++)
        {
          if (clock_monotonic () >= deadline)
            return set_send_error (&outcome, options, err);
          if (send_to_vm (options, request, options->addresses[i], deadline,
                          reply, &outcome))
            return true;
        }
      pause_between_rounds (deadline - clock_monotonic ());
    }
}

void
client_reply_free (client_reply_t *reply)
{
  free (reply->body);
  reply->body = NULL;
}
