/* peer_port: pulls of the accepted sheet from a control process.  */

#ifndef CONTROL_PEER_PORT_H
#define CONTROL_PEER_PORT_H

#include "control/accepted.h"
#include "wire/rpc.h"

/* Register the procedures; before rpc_start.  */
void peer_port_register (rpc_t *rpc, accepted_t *accepted);

#endif
