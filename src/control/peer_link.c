#include "control/peer_link.h"

#include <stdatomic.h>
#include <stdlib.h>

#include "wire/generated/control.h"

enum
{
  PEER_CALLS_MAX = 32, /* in progress to one peer */
};

/* Shorter than the election timeout, so that an unresponsive connection is
   closed and replaced before followers start an election.  */
#define PEER_TIMEOUT (300 * USEC_PER_MSEC)

typedef struct link_peer
{
  vm_id_t vm;
  _Atomic int n_calls;
} link_peer_t;

struct peer_link
{
  peer_link_options_t options;
  uint8_t n_slots;
  link_peer_t peers[REPLICAS_MAX];
};

/* Runs on the RPC thread.  */
static void
serve_agree (void *closure, rpc_call_t *call)
{
  peer_link_t *links = closure;
  control_agree_args_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_control_agree_args_t, &args))
    return;
  links->options.receive (
      links->options.closure,
      blob_new (args.message.message_val, args.message.message_len));
  xdr_free ((xdrproc_t)xdr_control_agree_args_t, (char *)&args);
  rpc_reply_void (call);
}

peer_link_t *
peer_link_new (const peer_link_options_t *options)
{
  peer_link_t *links = calloc (1, sizeof *links);
  if (!links)
    abort ();
  links->options = *options;
  const topology_t *topology = &options->settings->topology;
  for (size_t i = 0; i < topology->n_vms; i++)
    if (topology->vms[i].has_control && links->n_slots < REPLICAS_MAX)
      links->peers[links->n_slots++].vm = (vm_id_t)i;
  rpc_register (options->rpc, MULBERRY_CONTROL, MULBERRY_CONTROL_V1,
                CONTROL_AGREE, serve_agree, links);
  rpc_register (options->rpc, MULBERRY_CONTROL, MULBERRY_CONTROL_V1,
                CONTROL_SUBMIT, options->submit, options->closure);
  return links;
}

void
peer_link_free (peer_link_t *links)
{
  free (links);
}

static void
on_send_done (void *closure, const rpc_result_t *result)
{
  link_peer_t *peer = closure;
  (void)result;
  atomic_fetch_sub (&peer->n_calls, 1);
}

void
peer_link_send (peer_link_t *links, const message_t *message)
{
  link_peer_t *peer = &links->peers[message->to];
  if (atomic_load (&peer->n_calls) >= PEER_CALLS_MAX)
    return;
  atomic_fetch_add (&peer->n_calls, 1);
  blob_t *bytes = message_encode (message);
  control_agree_args_t args = { 0 };
  args.message.message_val = (char *)bytes->bytes;
  args.message.message_len = bytes->length;
  const settings_t *settings = links->options.settings;
  const rpc_request_t request
      = { .address = settings->topology.vms[peer->vm].address,
          .port = settings->ports.control_peer,
          .program = MULBERRY_CONTROL,
          .version = MULBERRY_CONTROL_V1,
          .procedure = CONTROL_AGREE,
          .encode = (xdrproc_t)xdr_control_agree_args_t,
          .args = &args,
          .timeout = PEER_TIMEOUT,
          .done = on_send_done,
          .closure = peer };
  rpc_send (links->options.rpc, &request);
  blob_unref (bytes);
}

uint8_t
peer_link_count (const peer_link_t *links)
{
  return links->n_slots;
}

vm_id_t
peer_link_vm (const peer_link_t *links, slot_t slot)
{
  return slot < links->n_slots ? links->peers[slot].vm : TOPOLOGY_NONE;
}

slot_t
peer_link_slot (const peer_link_t *links, vm_id_t vm)
{
  for (slot_t slot = 0; slot < links->n_slots; slot++)
    if (links->peers[slot].vm == vm)
      return slot;
  return SLOT_NONE;
}
