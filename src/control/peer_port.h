/* peer_port: serves the entry VMs' pulls of the accepted sheet over RPC.  */

#ifndef CONTROL_PEER_PORT_H
#define CONTROL_PEER_PORT_H

#include "control/accepted_sheet.h"
#include "wire/rpc.h"

/* Register the pull procedures, before rpc_start.  ACCEPTED must outlive
   RPC.  */
void peer_port_register (rpc_t *rpc, accepted_sheet_t *accepted);

#endif
