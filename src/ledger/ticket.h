/* ticket: the idempotency key of one non-idempotent request.

   An entry VM issues a ticket with a look-up; the caller sends it back in the
   `Idempotency-Key` header.  The ticket lists the replicas of its claim, so
   that any entry VM can claim it without looking the replicas up.  A keyed
   hash (HMAC-SHA256) prevents callers from choosing the replicas themselves.

   The generation starts at 1.  A refusal as "not
   run" returns the same ticket with the next generation: a ticket of
   generation G + 1 exists only where no run under generation G or below has
   happened or ever will.  */

#ifndef LEDGER_TICKET_H
#define LEDGER_TICKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/random.h"
#include "base/time_defs.h"
#include "placement/topology_defs.h"

enum
{
  TICKET_REPLICAS_MAX = 3,
  TICKET_KEY_BYTES = 32,       /* size of the shared HMAC key */
  TICKET_TEXT_BYTES = 256,     /* buffer for any ticket's text, with the NUL */
  TICKET_CANDIDATES_MAX = 256, /* entry VMs that replicas are chosen from */
  TICKET_GENERATION_FIRST = 1,
};

/* The unique identity of a ticket; the same in all its generations.  */
typedef struct ticket_id
{
  uint64_t issuer_incarnation;
  uint64_t sequence;
  vm_id_t issuer;
} ticket_id_t;

/* A replica of the ticket's claim, which votes only under this
   incarnation.  */
typedef struct ticket_replica
{
  vm_id_t vm;
  uint64_t incarnation;
} ticket_replica_t;

typedef struct ticket
{
  ticket_id_t id;
  uint32_t generation;
  usec_t issued_at; /* on the issuer's monotonic clock */
  uint8_t n_replicas;
  ticket_replica_t replicas[TICKET_REPLICAS_MAX];
} ticket_t;

/* The key that all entry VMs of one organisation share.  */
typedef struct ticket_key
{
  uint8_t bytes[TICKET_KEY_BYTES];
} ticket_key_t;

/* An entry VM that may become a replica.  */
typedef struct ticket_candidate
{
  uint64_t incarnation;
  vm_id_t vm;
  domain_id_t domain;
  region_id_t region;
  bool reachable;
} ticket_candidate_t;

typedef struct ticket_issue_options
{
  vm_id_t issuer;
  uint64_t incarnation;
  uint64_t sequence;                    /* unique under this incarnation */
  usec_t now;                           /* on the issuer's monotonic clock */
  const ticket_candidate_t *candidates; /* including the issuer */
  size_t n_candidates;
} ticket_issue_options_t;

/* Make a ticket of generation 1.  The first replica is the issuer.  The others
   are reachable VMs: first those of other failure domains in the issuer's
   region, then those of other failure domains elsewhere, then those of failure
   domains that hold a replica already.  The number of replicas is odd, and 1
   where candidates are few.  RANDOM chooses among equally good candidates.
   Fails with ERR_USAGE where the issuer isn't among the candidates.  */
bool ticket_issue (ticket_t *ticket, const ticket_issue_options_t *issue,
                   random_state_t *random, err_t *err);

/* Write the ticket's text form with its keyed hash to TEXT, NUL-terminated. */
void ticket_format (char text[TICKET_TEXT_BYTES], const ticket_t *ticket,
                    const ticket_key_t *key);

/* Read a ticket's text form.  Fails with ERR_PROTOCOL where TEXT isn't a
   ticket, and with ERR_AUTH where its keyed hash is wrong.  TICKET is written
   only on success.  */
bool ticket_parse (ticket_t *ticket, const char *text, const ticket_key_t *key,
                   err_t *err);

bool ticket_id_equal (const ticket_id_t *a, const ticket_id_t *b);

/* The size of a quorum: more than half of the ticket's replicas.  */
size_t ticket_majority (const ticket_t *ticket);

#endif
