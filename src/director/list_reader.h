/* list_reader: the thread that reads the list of backend servers from the
   platform whenever director_core_wants_list says so, and hands it to the
   core.  */

#ifndef DIRECTOR_LIST_READER_H
#define DIRECTOR_LIST_READER_H

#include "director/director_core.h"
#include "settings/fleet_settings.h"

typedef struct list_reader list_reader_t;

/* FEED and CORE outlive the reader.  NULL with ERR_IO where the thread can't
   be created.  */
list_reader_t *list_reader_start (settings_feed_t *feed, director_core_t *core,
                                  err_t *err);

/* The shortest time from the start of one reading, which took N_CALLS calls,
   to the start of the next.  A long list is read less often, because each call
   is a load on the platform, but often enough for the time in which a draining
   backend server must be known (bounds.drain), and within the calls that the
   platform accepts (backend_list_rate; 0: no limit).  */
usec_t list_reader_min_interval (size_t n_calls,
                                 const fleet_settings_t *settings);

/* Wait for a reading in progress, stop the thread and free READER.  */
void list_reader_stop (list_reader_t *reader);

#endif
