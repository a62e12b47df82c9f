/* director_port: the HTTP ports of a director: one for the requests of
   operators, one for the look-ups of callers.  */

#ifndef DIRECTOR_DIRECTOR_PORT_H
#define DIRECTOR_DIRECTOR_PORT_H

#include "director/director_core.h"

typedef struct director_port director_port_t;

/* What the pointers refer to outlives the port.  */
typedef struct director_port_options
{
  settings_feed_t *feed;
  const fleet_settings_t *settings; /* at start-up: the listen addresses */
  director_core_t *core;
  lookup_view_t *lookups;
} director_port_options_t;

/* Start to listen on both ports.  NULL with ERR_IO where a port can't be
   opened.  */
director_port_t *director_port_open (const director_port_options_t *options,
                                     err_t *err);

/* Stop to listen and free PORT.  Call it after director_core_stop, which
   finishes the operators' requests: connections that wait for one are
   suspended until then.  */
void director_port_close (director_port_t *port);

#endif
