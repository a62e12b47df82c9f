#include "balance/answer_class.h"

enum
{
  STATUS_BAD_REQUEST = 400,
  STATUS_REQUEST_TIMEOUT = 408,
  STATUS_MISDIRECTED = 421, /* Misdirected Request */
  STATUS_TOO_MANY_REQUESTS = 429,
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504,
  STATUS_SERVER_ERROR_MIN = 500,
};

/* An answer without the request's id belongs to another request, whatever its
   status.  */
static bool
is_for_request (const answer_facts_t *facts)
{
  return facts->is_complete && facts->id_matches;
}

/* On a connection that has carried another request, an answer to that one may
   come first: the backend server may well have answered this one.  */
static bool
is_for_earlier_request (const answer_facts_t *facts)
{
  return facts->is_foreign && facts->was_reused;
}

/* A success must be signed; no answer may have an altered body.  */
static bool
is_trusted (const answer_facts_t *facts)
{
  bool is_success = facts->status >= 200 && facts->status < 300;
  return !facts->is_encoded && (facts->is_signed || !is_success);
}

/* Whether a caller takes STATUS for a promise that its request has not run and
   never will.  */
static bool
promises_not_run (unsigned int status)
{
  return status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED
         || status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
}

/* Whether the backend server states that it did not run the request.  A status
   alone states nothing, and one that tells of a run contradicts the field.  */
static bool
states_not_run (const answer_facts_t *facts)
{
  return facts->not_started
         && (promises_not_run (facts->status)
             || facts->status == STATUS_BAD_REQUEST);
}

backend_result_t
answer_classify (const answer_facts_t *facts)
{
  if (is_for_earlier_request (facts))
    return BACKEND_OTHER_ANSWER;
  if (!is_for_request (facts))
    return BACKEND_NO_VALID_ANSWER;
  if (facts->status == STATUS_MISDIRECTED)
    return BACKEND_MISDIRECTED;
  if (states_not_run (facts))
    return BACKEND_REFUSED;
  if (promises_not_run (facts->status))
    return BACKEND_DOUBTFUL_REFUSAL;
  if (!is_trusted (facts))
    return BACKEND_NO_VALID_ANSWER;
  return facts->status >= STATUS_SERVER_ERROR_MIN ? BACKEND_SERVER_ERROR
                                                  : BACKEND_ANSWERED;
}

bool
answer_may_have_run (const answer_facts_t *facts)
{
  if (!facts->may_have_been_sent)
    return false;
  backend_result_t result = answer_classify (facts);
  bool is_refusal = result == BACKEND_REFUSED || result == BACKEND_MISDIRECTED;
  return !(is_refusal && states_not_run (facts));
}

bool
answer_limits_caller (const answer_facts_t *facts)
{
  return answer_classify (facts) == BACKEND_DOUBTFUL_REFUSAL
         && facts->status != STATUS_UNAVAILABLE;
}

bool
answer_shows_complete_run (const answer_facts_t *facts)
{
  backend_result_t result = answer_classify (facts);
  bool is_timeout = facts->status == STATUS_REQUEST_TIMEOUT
                    || facts->status == STATUS_GATEWAY_TIMEOUT;
  return !is_timeout && !facts->not_started
         && (result == BACKEND_ANSWERED || result == BACKEND_SERVER_ERROR);
}

const char *
answer_class_name (backend_result_t result)
{
  switch (result)
    {
    case BACKEND_ANSWERED:
      return "answered";
    case BACKEND_SERVER_ERROR:
      return "server_error";
    case BACKEND_REFUSED:
      return "refused";
    case BACKEND_DOUBTFUL_REFUSAL:
      return "doubtful_refusal";
    case BACKEND_MISDIRECTED:
      return "misdirected";
    case BACKEND_NO_VALID_ANSWER:
      return "no_valid_answer";
    case BACKEND_OTHER_ANSWER:
      return "other_answer";
    case BACKEND_CANCELLED:
      return "cancelled";
    }
  return "unknown";
}
