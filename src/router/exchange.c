#include "router/exchange.h"

#include <microhttpd.h>
#include <stdlib.h>

bool
exchange_awaits_caller (const exchange_t *exchange)
{
  return exchange->stream && !exchange->is_whole
         && body_stream_is_empty (exchange->stream);
}

const char *
exchange_reason_name (exchange_reason_t reason)
{
  switch (reason)
    {
    case REASON_NONE:
      return "answered";
    case REASON_BAD_REQUEST:
      return "bad_request";
    case REASON_TOO_LARGE:
      return "too_large";
    case REASON_LONG_HEAD:
      return "long_head";
    case REASON_NO_ROUTE:
      return "no_route";
    case REASON_NO_ACCOUNT:
      return "no_account";
    case REASON_QUOTA:
      return "quota";
    case REASON_NO_CONFIG:
      return "no_config";
    case REASON_NO_BACKEND:
      return "no_backend";
    case REASON_OVERLOAD:
      return "overload";
    case REASON_TOO_LATE:
      return "too_late";
    case REASON_RESTING:
      return "resting";
    case REASON_CUT_OFF:
      return "cut_off";
    case REASON_REFUSED:
      return "refused";
    case REASON_MEMORY:
      return "memory";
    case REASON_QUARANTINED:
      return "quarantined";
    case REASON_HELD_BACK:
      return "held_back";
    case REASON_STOPPING:
      return "stopping";
    case REASON_BROKE_OFF:
      return "broke_off";
    case REASON_TIMEOUT:
      return "timeout";
    case REASON_GONE:
      return "gone";
    }
  return "unknown";
}

unsigned int
exchange_reason_status (exchange_reason_t reason)
{
  switch (reason)
    {
    case REASON_NONE:
      return MHD_HTTP_OK;
    case REASON_BAD_REQUEST:
      return MHD_HTTP_BAD_REQUEST;
    case REASON_TOO_LARGE:
      return MHD_HTTP_CONTENT_TOO_LARGE;
    case REASON_LONG_HEAD:
      return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case REASON_NO_ROUTE:
      return MHD_HTTP_NOT_FOUND;
    case REASON_NO_ACCOUNT:
      return MHD_HTTP_UNAUTHORIZED;
    case REASON_QUOTA:
      return MHD_HTTP_TOO_MANY_REQUESTS;
    case REASON_NO_CONFIG:
    case REASON_NO_BACKEND:
    case REASON_OVERLOAD:
    case REASON_TOO_LATE:
    case REASON_RESTING:
    case REASON_CUT_OFF:
    case REASON_REFUSED:
    case REASON_MEMORY:
    case REASON_QUARANTINED:
    case REASON_HELD_BACK:
    case REASON_STOPPING:
      return MHD_HTTP_SERVICE_UNAVAILABLE;
    case REASON_BROKE_OFF:
    case REASON_GONE:
      return MHD_HTTP_BAD_GATEWAY;
    case REASON_TIMEOUT:
      return MHD_HTTP_GATEWAY_TIMEOUT;
    }
  return MHD_HTTP_INTERNAL_SERVER_ERROR;
}
