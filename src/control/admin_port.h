/* admin_port: the administration API over HTTP, version 1.

   POST /v1/sheet    submit the sheet in the body
   GET /v1/sheet     the newest accepted sheet, as CSV
   GET /v1/status    this replica's view of the agreement, as JSON

   Every request is signed (wire/credential.h) and answered with a signature;
   one that is not is refused and counted before anything else is looked at.
   Each request and who sent it is logged.  docs/API.md has the whole of
   it.  */

#ifndef CONTROL_ADMIN_PORT_H
#define CONTROL_ADMIN_PORT_H

#include <stdint.h>

#include "base/metrics.h"
#include "control/admin_service.h"
#include "wire/credential.h"

typedef struct admin_port admin_port_t;

typedef struct admin_port_options
{
  const char *address;
  uint16_t port;
  admin_service_t service;
  const credentials_t *credentials; /* outlive the port */
  metrics_t *metrics;               /* likewise */
} admin_port_options_t;

admin_port_t *admin_port_open (const admin_port_options_t *options,
                               err_t *err);

/* Requests under way are finished first.  */
void admin_port_close (admin_port_t *port);

#endif
