/* credential: who may use the administration API, and proof of it.

   A key file has one line an operator, "NAME KEY", the key being 64
   hexadecimal digits; empty lines and those that begin with '#' are passed
   over.  Control's file lists all operators, an operator's file its own line
   alone.  A file that anyone but its owner may read is refused.

   A request is signed with HMAC-SHA256 over its method, target, the VM it is
   sent to, the operator, the time, a nonce and the body's digest.  The VM
   refuses a signature that is older or newer than CREDENTIAL_WINDOW, from
   before its own start, or seen before; so a recorded request is worth
   nothing, here or at another VM.  An answer is signed with the same key over
   the request's signature, so it can't be forged or swapped.  Nothing is
   encrypted.  */

#ifndef WIRE_CREDENTIAL_H
#define WIRE_CREDENTIAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/name_defs.h"
#include "base/time_defs.h"

enum
{
  CREDENTIAL_KEY_BYTES = 32,
  CREDENTIAL_MAC_BYTES = 32,
  CREDENTIAL_NONCE_BYTES = 16,
  CREDENTIAL_HEADER_BYTES = 320, /* of a signed request's header value */
  CREDENTIAL_ANSWER_BYTES = 2 * CREDENTIAL_MAC_BYTES + 1,
  CREDENTIAL_OPERATORS_MAX = 1024,
  CREDENTIAL_NONCES_MAX = 16384, /* remembered at once */
};

#define CREDENTIAL_WINDOW (60 * USEC_PER_SEC)
#define CREDENTIAL_SCHEME "Mulberry-HMAC-SHA256"
#define CREDENTIAL_ANSWER_HEADER "Mulberry-Signature"

typedef struct credential
{
  name_t operator_name;
  unsigned char key[CREDENTIAL_KEY_BYTES];
} credential_t;

/* The lines of a key file.  */
typedef struct credentials
{
  credential_t *entries;
  size_t n_entries;
} credentials_t;

/* Read the key file at PATH.  ERR_AUTH where others may read it or a line is
   not legal, ERR_IO where it can't be read.  Release with credentials_free,
   which wipes the keys.  */
bool credentials_load (credentials_t *credentials, const char *path,
                       err_t *err);
void credentials_free (credentials_t *credentials);

/* NULL where there is no such operator.  */
const credential_t *credentials_find (const credentials_t *credentials,
                                      const char *operator_name);

/* What a signature covers.  */
typedef struct credential_request
{
  const char *method;
  const char *target; /* path and query, as sent */
  const char *vm;     /* "ADDRESS:PORT" that it is sent to */
  const void *body;
  size_t body_bytes;
} credential_request_t;

/* Sign REQUEST at wall-clock time NOW with a fresh NONCE; HEADER becomes the
   value of the Authorization header.  */
void credential_sign (const credential_t *credential,
                      const credential_request_t *request, usec_t now,
                      const unsigned char nonce[CREDENTIAL_NONCE_BYTES],
                      char header[CREDENTIAL_HEADER_BYTES]);

/* Sign the answer (STATUS, BODY) to the request that carried HEADER; SIGNATURE
   becomes the value of CREDENTIAL_ANSWER_HEADER.  */
void credential_sign_answer (const credential_t *credential,
                             const char *header, unsigned status,
                             const void *body, size_t body_bytes,
                             char signature[CREDENTIAL_ANSWER_BYTES]);

/* Whether SIGNATURE is that of this answer.  */
bool credential_check_answer (const credential_t *credential,
                              const char *header, unsigned status,
                              const void *body, size_t body_bytes,
                              const char *signature);

/* What a VM finds in a request.  */
typedef enum
{
  CREDENTIAL_GOOD,
  CREDENTIAL_MISSING,
  CREDENTIAL_GARBAGE,
  CREDENTIAL_UNKNOWN, /* no such operator */
  CREDENTIAL_WRONG_KEY,
  CREDENTIAL_STALE, /* outside the window, or from before the start */
  CREDENTIAL_REPLAY,
  CREDENTIAL_BUSY, /* too many nonces at once */
  CREDENTIAL_VERDICTS,
} credential_verdict_t;

/* A VM's memory of the nonces it has seen; for one thread at a time.  */
typedef struct credential_verifier credential_verifier_t;

/* CREDENTIALS outlives the verifier; STARTED is the wall-clock time now.  */
credential_verifier_t *
credential_verifier_new (const credentials_t *credentials, usec_t started);
void credential_verifier_free (credential_verifier_t *verifier);

/* Check the Authorization header's value HEADER (NULL: none) of REQUEST at
   wall-clock time NOW.  *WHO is the credential where the verdict is good, else
   NULL.  A nonce is remembered only with a right signature, so that strangers
   can't fill the memory.  */
credential_verdict_t credential_verify (credential_verifier_t *verifier,
                                        const credential_request_t *request,
                                        const char *header, usec_t now,
                                        const credential_t **who);

/* The verdict as it stands in logs and counters, "wrong_key" say.  */
const char *credential_verdict_name (credential_verdict_t verdict);

/* The error that the client is told.  It does not tell an unknown operator
   from a wrong key.  */
void credential_verdict_error (credential_verdict_t verdict, err_t *err);

#endif
