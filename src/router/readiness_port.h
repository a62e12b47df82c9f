/* readiness_port: tells whether callers may be sent to this router: 200, or
   503.  */

#ifndef ROUTER_READINESS_PORT_H
#define ROUTER_READINESS_PORT_H

#include <stdbool.h>

#include "base/error.h"
#include "base/inet.h"

typedef struct readiness_port readiness_port_t;

/* Not ready at first.  NULL with ERR_IO.  */
readiness_port_t *readiness_port_open (const inet_t *address, err_t *err);

void readiness_port_close (readiness_port_t *port);

/* From any thread.  */
void readiness_port_set (readiness_port_t *port, bool is_ready);

#endif
