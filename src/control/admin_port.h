/* admin_port: the administration API over HTTP, version 1.

   POST /v1/sheet    submit the sheet in the body
   GET /v1/sheet     the newest accepted sheet, as CSV
   GET /v1/status    this replica's view of the agreement, as JSON

   Every request must carry a valid signature (wire/credential.h) and gets a
   signed answer.  A request without one is refused and counted before its
   method, path and body are interpreted.  Each request is logged with its
   operator and address.  docs/API.md describes the API in full.  */

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
  const credentials_t *credentials; /* must outlive the port */
  metrics_t *metrics;               /* must outlive the port */
} admin_port_options_t;

/* Listen and serve requests on threads of the port.  Returns NULL with the
   error in ERR if that fails.  */
admin_port_t *admin_port_open (const admin_port_options_t *options,
                               err_t *err);

/* Waits until requests in progress have been answered.  */
void admin_port_close (admin_port_t *port);

#endif
