/* platform_cut: cuts links between callers and backend servers.

   FOLDER/cut names addresses that can't reach the backend servers, one a line
   with the kind of cut:

     ADDRESS hang    new connections get no answer, nor do requests on others
     ADDRESS reset   new connections and those with a request are closed
     ADDRESS live    new connections get no answer; those that are open live on

   A new connection that gets no answer is dropped by a filter on the listening
   socket, so it can't be made.  */

#ifndef FAKES_PLATFORM_CUT_H
#define FAKES_PLATFORM_CUT_H

#include <stdbool.h>
#include <sys/socket.h>

typedef enum
{
  CUT_NONE,
  CUT_HANG,
  CUT_RESET,
  CUT_LIVE,
} cut_t;

/* How ADDRESS is cut off, by FOLDER/cut.  */
cut_t cut_of (const char *folder, const struct sockaddr *address);

/* Let the listening socket FD drop new connections as FOLDER/cut says now.  */
void cut_filter (const char *folder, int fd);

/* Wait while ADDRESS is cut off with CUT_HANG.  */
void cut_wait (const char *folder, const struct sockaddr *address);

#endif
