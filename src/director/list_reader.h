/* list_reader: the thread that reads the list of backend servers whenever the
   core wants a fresh one.  */

#ifndef DIRECTOR_LIST_READER_H
#define DIRECTOR_LIST_READER_H

#include "director/director_core.h"

typedef struct list_reader list_reader_t;

/* NULL with ERR_IO.  */
list_reader_t *list_reader_start (settings_feed_t *feed, director_core_t *core,
                                  err_t *err);

/* How long after the begin of a reading of N_CALLS the next one may begin,
   where the platform takes RATE calls a second of all VMs together.  */
usec_t list_reader_pause (size_t n_calls, double rate);

void list_reader_stop (list_reader_t *reader);

#endif
