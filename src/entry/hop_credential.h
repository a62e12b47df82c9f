/* hop_credential: proves that a forwarded request comes from another entry VM,
   by an HMAC-SHA256, cut to 16 bytes, over the VM, the request's id, its
   method, its ticket and its target.  */

#ifndef ENTRY_HOP_CREDENTIAL_H
#define ENTRY_HOP_CREDENTIAL_H

#include <stdbool.h>

#include "ledger/ticket.h"
#include "placement/topology_defs.h"

enum
{
  HOP_CREDENTIAL_BYTES = 64,
};

typedef struct hop
{
  vm_id_t vm;     /* that forwards the request */
  const char *id; /* X-Request-Id */
  const char *method;
  const char *target; /* path and query */
  const char *ticket; /* "" for none */
} hop_t;

/* Write the value of the header X-Mulberry-Hop.  */
void hop_credential_write (char text[HOP_CREDENTIAL_BYTES], const hop_t *hop,
                           const ticket_key_t *key);

/* Whether TEXT was written with KEY for HOP.  Sets HOP->vm to the VM that TEXT
   names.  */
bool hop_credential_check (const char *text, hop_t *hop,
                           const ticket_key_t *key);

#endif
