/* readiness_port: HTTP readiness check: 200 if callers may be sent to this
   router, 503 if not.  It has a thread of its own.  */

#ifndef ROUTER_READINESS_PORT_H
#define ROUTER_READINESS_PORT_H

#include <stdbool.h>

#include "base/error.h"
#include "base/inet.h"

typedef struct readiness_port readiness_port_t;

/* Open the port; it answers 503 until readiness_port_set.  Returns NULL with
   ERR_IO if ADDRESS can't be used.  */
readiness_port_t *readiness_port_open (const inet_t *address, err_t *err);

void readiness_port_close (readiness_port_t *port);

/* May be called from any thread.  */
void readiness_port_set (readiness_port_t *port, bool is_ready);

#endif
