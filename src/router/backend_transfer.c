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
  bool has_body = request->body_bytes > 0;
  if (strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (!has_body && strcmp (request->method, "GET") == 0)
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  else
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body_bytes);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        has_body ? request->body : "");
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
    }
}

void
backend_transfer_set_stream (CURL *easy, const backend_request_t *request,
                             curl_read_callback on_read, void *closure)
{
  curl_easy_setopt (easy, CURLOPT_POST, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, NULL);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)body_stream_length (request->stream));
  curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_read);
  curl_easy_setopt (easy, CURLOPT_READDATA, closure);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
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
