/* peer_link: messages between the replicas over RPC.  A replica's slot is its
   place among the settings' control VMs.  */

#ifndef CONTROL_PEER_LINK_H
#define CONTROL_PEER_LINK_H

#include "agreement/message.h"
#include "settings/settings_defs.h"
#include "wire/rpc.h"

typedef struct peer_link peer_link_t;

/* Called on the RPC thread; takes over MESSAGE, not decoded yet.  */
typedef void (*peer_receive_t) (void *closure, blob_t *message);

typedef struct peer_link_options
{
  const settings_t *settings;
  rpc_t *rpc; /* not started yet */
  peer_receive_t receive;
  rpc_handler_t submit; /* serves CONTROL_SUBMIT */
  void *closure;
} peer_link_options_t;

peer_link_t *peer_link_new (const peer_link_options_t *options);
/* After rpc_close.  */
void peer_link_free (peer_link_t *links);

/* Send without waiting.  A message is lost where its peer can't be reached
   or has PEER_CALLS_MAX of them under way.  */
void peer_link_send (peer_link_t *links, const message_t *message);

uint8_t peer_link_count (const peer_link_t *links);
/* TOPOLOGY_NONE or SLOT_NONE where there is none.  */
vm_id_t peer_link_vm (const peer_link_t *links, slot_t slot);
slot_t peer_link_slot (const peer_link_t *links, vm_id_t vm);

#endif
