/* held_rpc: an RPC layer that is not started: calls and replies are kept for
   the test, which answers calls itself.  */

#ifndef TEST_SUPPORT_HELD_RPC_H
#define TEST_SUPPORT_HELD_RPC_H

#include <apr_general.h>
#include <stdlib.h>

#include "wire/rpc_call.h"
#include "wire/rpc_state.h"

enum
{
  HELD_RESULT_BYTES_MAX = 1024 * 1024,
};

/* End it with rpc_close.  */
static inline rpc_t *
held_rpc_open (void)
{
  static const unsigned char key[RPC_KEY_BYTES] = "held";
  const rpc_options_t options
      = { .address = "127.0.0.1", .incarnation = 1, .key = key };
  apr_initialize ();
  rpc_t *rpc = rpc_open (&options, NULL);
  if (!rpc)
    abort ();
  return rpc;
}

/* The only call that is kept; NULL if there is none.  Free it with
   held_rpc_free_call.  */
static inline rpc_out_call_t *
held_rpc_take_call (rpc_t *rpc)
{
  list_t *link = rpc->new_calls.next;
  if (link == &rpc->new_calls)
    return NULL;
  if (link->next != &rpc->new_calls)
    abort ();
  list_init (&rpc->new_calls);
  return LIST_ENTRY (link, rpc_out_call_t, link);
}

static inline void
held_rpc_free_call (rpc_out_call_t *call)
{
  free (call->args);
  free (call);
}

/* Answer CALL with LENGTH encoded bytes, and free it.  */
static inline void
held_rpc_answer_bytes (rpc_out_call_t *call, const char *bytes, size_t length)
{
  const rpc_result_t result
      = { .ok = true, .body = bytes, .body_bytes = (uint32_t)length };
  call->request.done (call->request.closure, &result);
  held_rpc_free_call (call);
}

/* Answer CALL with VALUE, encoded by FILTER, and free it.  */
static inline void
held_rpc_answer (rpc_out_call_t *call, xdrproc_t filter, void *value)
{
  char *bytes = malloc (HELD_RESULT_BYTES_MAX);
  XDR xdr;
  xdrmem_create (&xdr, bytes, HELD_RESULT_BYTES_MAX, XDR_ENCODE);
  if (!bytes || !filter (&xdr, value))
    abort ();
  held_rpc_answer_bytes (call, bytes, xdr_getpos (&xdr));
  free (bytes);
}

/* Drop the replies that are kept.  Returns how many.  */
static inline size_t
held_rpc_drop_replies (rpc_t *rpc)
{
  size_t n = 0;
  LIST_FOREACH (link, &rpc->new_replies)
  {
    rpc_out_reply_t *reply = LIST_ENTRY (link, rpc_out_reply_t, link);
    free (reply->frame.bytes);
    free (reply);
    n++;
  }
  list_init (&rpc->new_replies);
  return n;
}

#endif
