/* director_port: the HTTP ports of a director: operators' orders, and callers'
   look-ups.  */

#ifndef DIRECTOR_DIRECTOR_PORT_H
#define DIRECTOR_DIRECTOR_PORT_H

#include "director/director_core.h"

typedef struct director_port director_port_t;

typedef struct director_port_options
{
  settings_feed_t *feed;
  const fleet_settings_t *settings; /* of the start: the addresses */
  director_core_t *core;
  lookup_view_t *lookups;
} director_port_options_t;

/* NULL with ERR_IO where a port can't be opened.  */
director_port_t *director_port_open (const director_port_options_t *options,
                                     err_t *err);

/* After director_core_stop, which ends the orders under way.  */
void director_port_close (director_port_t *port);

#endif
