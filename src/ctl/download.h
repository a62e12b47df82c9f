/* download: receive HTTP bodies of bounded length with libcurl, and fetch many
   HTTP pages concurrently.  */

#ifndef CTL_DOWNLOAD_H
#define CTL_DOWNLOAD_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/byte_buffer.h"
#include "wire/head_bound.h"

typedef struct download
{
  byte_buffer_t text;
  size_t limit; /* in bytes; a longer body aborts the transfer */
  head_bound_t head;
} download_t;

/* Make CURL append the body that it receives to DOWNLOAD, whose limit is
   set.  */
void download_into (download_t *download, CURL *curl);

/* Move the text out of DOWNLOAD, "" where nothing was received; the caller
   frees it.  */
char *download_take_text (download_t *download);

/* One HTTP page of another process, fetched without a credential.  */
typedef struct page
{
  const char *address; /* dotted IPv4 */
  uint16_t port;
  const char *path;
  bool is_post;    /* POST without a body; otherwise GET */
  unsigned status; /* 0: no complete answer in time */
  download_t body;
} page_t;

/* Fetch N pages, a bounded number of them concurrently.  Each gets its status
   and body; a page that fails has the status 0.  */
void pages_fetch (page_t *pages, size_t n);

/* Free the bodies of N pages, not PAGES itself.  */
void pages_free (page_t *pages, size_t n);

#endif
