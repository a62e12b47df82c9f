/* download: a bounded body that libcurl writes, and many pages at once.  */

#ifndef CTL_DOWNLOAD_H
#define CTL_DOWNLOAD_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct download
{
  char *text; /* NUL-terminated; NULL where nothing came */
  size_t length;
  size_t limit; /* a longer body breaks the transfer off */
} download_t;

/* Let CURL write its body into DOWNLOAD.  */
void download_into (download_t *download, CURL *curl);

/* The text, "" in place of NULL; the caller's to free.  */
char *download_take (download_t *download);

/* One page of another process, fetched without a credential.  */
typedef struct page
{
  const char *address; /* dotted IPv4 */
  uint16_t port;
  const char *path;
  unsigned status; /* 0: not reached in time */
  download_t body;
} page_t;

/* Fetch N pages, a bounded number at once.  */
void pages_fetch (page_t *pages, size_t n);

void pages_free (page_t *pages, size_t n);

#endif
