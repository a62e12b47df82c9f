#include "ctl/download.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONCURRENT_PAGES_MAX = 32,
  PAGE_TIMEOUT_MS = 3000,
  CONNECT_TIMEOUT_MS = 1000,
  PAGE_BYTES_MAX = 16 * 1024 * 1024,
  POLL_MS = 100,
  URL_BYTES = 128,
};

static size_t
append_body (char *bytes, size_t size, size_t n, void *closure)
{
  download_t *download = closure;
  size_t length = size * n;
  bool fits
      = byte_buffer_append (&download->text, bytes, length, download->limit);
  return fits ? length : 0;
}

void
download_into (download_t *download, CURL *curl)
{
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, download);
}

char *
download_take_text (download_t *download)
{
  char *text = byte_buffer_take (&download->text);
  return text ? text : strdup ("");
}

static void
page_start (CURLM *multi, page_t *page)
{
  char url[URL_BYTES];
  CURL *curl = curl_easy_init ();
  page->body.limit = PAGE_BYTES_MAX;
  snprintf (url, sizeof url, "http://%s:%u%s", page->address, page->port,
            page->path);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_PRIVATE, page);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)PAGE_TIMEOUT_MS);
  if (page->is_post)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, "");
  download_into (&page->body, curl);
  head_bound_watch (&page->body.head, curl);
  curl_multi_add_handle (multi, curl);
}

/* Record the status of the finished transfers and release them; returns how
   many there were.  */
static size_t
pages_collect_finished (CURLM *multi)
{
  size_t n_ended = 0;
  int left;
  CURLMsg *message;
  while ((message = curl_multi_info_read (multi, &left)))
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      CURL *curl = message->easy_handle;
      page_t *page = NULL;
      long status = 0;
      curl_easy_getinfo (curl, CURLINFO_PRIVATE, (char **)&page);
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
      if (message->data.result == CURLE_OK)
        page->status = (unsigned)status;
      curl_multi_remove_handle (multi, curl);
      curl_easy_cleanup (curl);
      n_ended++;
    }
  return n_ended;
}

void
pages_fetch (page_t *pages, size_t n)
{
  CURLM *multi = curl_multi_init ();
  size_t n_started = 0;
  size_t n_ended = 0;
  while (n_ended < n)
    {
      while (n_started < n && n_started - n_ended < CONCURRENT_PAGES_MAX)
        page_start (multi, &pages[n_started++]);
      int running;
      curl_multi_perform (multi, &running);
      size_t n_collected = pages_collect_finished (multi);
      n_ended += n_collected;
      if (n_collected == 0)
        curl_multi_poll (multi, NULL, 0, POLL_MS, NULL);
    }
  curl_multi_cleanup (multi);
}

void
pages_free (page_t *pages, size_t n)
{
  for (size_t i = 0; i < n; i++)
    free (pages[i].body.text.bytes);
}
