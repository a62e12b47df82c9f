/* peer_link: messages between the replicas over RPC.  A replica's slot is the
   position of its VM among the control VMs in the settings.  */

#ifndef CONTROL_PEER_LINK_H
#define CONTROL_PEER_LINK_H

#include "agreement/message.h"
#include "settings/settings_defs.h"
#include "wire/rpc.h"

typedef struct peer_link peer_link_t;

/* Called on the RPC thread with an encoded message, whose reference it
   takes.  */
typedef void (*peer_receive_t) (void *closure, blob_t *message);

typedef struct peer_link_options
{
  const settings_t *settings;
  rpc_t *rpc; /* rpc_start not called yet */
  peer_receive_t receive;
  rpc_handler_t submit; /* serves CONTROL_SUBMIT */
  void *closure;        /* of RECEIVE and SUBMIT */
} peer_link_options_t;

/* Register the procedures CONTROL_AGREE and CONTROL_SUBMIT.  */
peer_link_t *peer_link_new (const peer_link_options_t *options);
/* Call after rpc_close.  */
void peer_link_free (peer_link_t *links);

/* Send MESSAGE without waiting for the answer.  It is lost if the peer can't
   be reached or already has 32 calls in progress.  */
void peer_link_send (peer_link_t *links, const message_t *message);

/* The number of slots.  */
uint8_t peer_link_count (const peer_link_t *links);
/* The VM of a slot and the slot of a VM; TOPOLOGY_NONE or SLOT_NONE if there
   is none.  */
vm_id_t peer_link_vm (const peer_link_t *links, slot_t slot);
slot_t peer_link_slot (const peer_link_t *links, vm_id_t vm);

#endif
