/* list_reader: the thread that reads the list of backend servers whenever the
   core wants a fresh one.  */

#ifndef DIRECTOR_LIST_READER_H
#define DIRECTOR_LIST_READER_H

#include "director/director_core.h"

typedef struct list_reader list_reader_t;

/* NULL with ERR_IO.  */
list_reader_t *list_reader_start (const fleet_settings_t *settings,
                                  director_core_t *core, err_t *err);

void list_reader_stop (list_reader_t *reader);

#endif
