#include "router/backend_transfer.h"

#include <stdio.h>
#include <string.h>

enum
{
  URL_BYTES = 64,
};

void
backend_transfer_set_target (CURL *easy, const backend_request_t *request)
{
  char address[INET_TEXT_BYTES];
  char url[URL_BYTES];
  inet_format (&request->address, address);
  snprintf (url, sizeof url, "http://%s/", address);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->target);
}

void
backend_transfer_set_method (CURL *easy, const backend_request_t *request)
{
  uint64_t body_bytes = request->stream ? body_stream_length (request->stream)
                                        : request->body_bytes;
  if (strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (body_bytes == 0 && strcmp (request->method, "GET") == 0)
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  else
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)body_bytes);
      if (!request->stream)
        curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                          body_bytes > 0 ? request->body : "");
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
    }
}

bool
backend_transfer_is_cut_off (CURLcode code)
{
  switch (code)
    {
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
    case CURLE_PARTIAL_FILE:
    case CURLE_ABORTED_BY_CALLBACK: /* the connection was not wanted */
    case CURLE_COULDNT_CONNECT:
      return true;
    default:
      return false;
    }
}
