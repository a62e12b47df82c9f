/* admin_port: the administration API over HTTP, version 1.

   POST /v1/sheet   submit the sheet in the body
   GET /v1/sheet    the newest accepted sheet
   GET /v1/status   this replica, and the version in force on each VM  */

#ifndef CONTROL_ADMIN_PORT_H
#define CONTROL_ADMIN_PORT_H

#include <stdint.h>

#include "control/accepted.h"
#include "control/core_thread.h"

typedef struct admin_port admin_port_t;

typedef struct admin_port_options
{
  const char *address;
  uint16_t port;
  const topology_t *topology;
  accepted_t *accepted;
  core_thread_t *core;
} admin_port_options_t;

admin_port_t *admin_port_open (const admin_port_options_t *options,
                               err_t *err);

/* Requests under way are finished first.  */
void admin_port_close (admin_port_t *port);

#endif
