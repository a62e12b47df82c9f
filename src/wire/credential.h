/* credential: authentication of operators at the administration API.

   A key file has one line per operator, "NAME KEY", where KEY is 64 lower-case
   hexadecimal digits; empty lines and lines that begin with '#' are ignored.
   A control VM's file lists all operators, an operator's file only that
   operator's own line.  A file that is accessible to anyone but its owner is
   refused.

   A request is signed with HMAC-SHA256 over its method, its target, the
   address of the VM that it is sent to, the operator's name, the time, a nonce
   and the digest of the body.  The VM refuses a request whose time differs
   from the VM's clock by more than CREDENTIAL_WINDOW or lies before the VM's
   start, or whose nonce it has already seen.  A recorded request can therefore
   not be replayed, neither to the same VM nor to another one.  An answer is
   signed with the same key over the request's Authorization header, so that it
   can't be forged or replaced by the answer to another request.  Nothing is
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
  CREDENTIAL_HEADER_BYTES = 320, /* Authorization value with its NUL */
  CREDENTIAL_ANSWER_BYTES = 2 * CREDENTIAL_MAC_BYTES + 1,
  CREDENTIAL_OPERATORS_MAX = 1024,
  CREDENTIAL_NONCES_MAX = 16384, /* stored at the same time */
};

#define CREDENTIAL_WINDOW (60 * USEC_PER_SEC)
#define CREDENTIAL_SCHEME "Mulberry-HMAC-SHA256"
#define CREDENTIAL_ANSWER_HEADER "Mulberry-Signature"

typedef struct credential
{
  name_t operator_name;
  unsigned char key[CREDENTIAL_KEY_BYTES];
} credential_t;

/* The operators of a key file, in the order of its lines.  */
typedef struct credentials
{
  credential_t *entries;
  size_t n_entries;
} credentials_t;

/* Read the key file at PATH.  ERR_AUTH if users other than its owner have
   access to the file, or if a line is malformed or names an operator again;
   ERR_USAGE if an operator's name is not legal; ERR_LIMIT if the file has more
   than CREDENTIAL_OPERATORS_MAX operators or memory runs out; ERR_IO if the
   file can't be opened.  Release with credentials_free, which overwrites the
   keys.  */
bool credentials_load (credentials_t *credentials, const char *path,
                       err_t *err);
void credentials_free (credentials_t *credentials);

/* The credential of OPERATOR_NAME, which CREDENTIALS owns; NULL if there is
   none.  */
const credential_t *credentials_find (const credentials_t *credentials,
                                      const char *operator_name);

/* The parts of a request that its signature covers.  */
typedef struct credential_request
{
  const char *method;
  const char *target; /* path and query, as sent */
  const char *vm;     /* "ADDRESS:PORT" of the receiver */
  const void *body;
  size_t body_bytes;
} credential_request_t;

/* Sign REQUEST at wall-clock time NOW.  NONCE must be new for each request.
   Writes the value of the Authorization header to HEADER.  */
void credential_sign (const credential_t *credential,
                      const credential_request_t *request, usec_t now,
                      const unsigned char nonce[CREDENTIAL_NONCE_BYTES],
                      char header[CREDENTIAL_HEADER_BYTES]);

/* Sign the answer (STATUS, BODY) to the request whose Authorization value was
   HEADER.  Writes the value of CREDENTIAL_ANSWER_HEADER to SIGNATURE.  */
void credential_sign_answer (const credential_t *credential,
                             const char *header, unsigned status,
                             const void *body, size_t body_bytes,
                             char signature[CREDENTIAL_ANSWER_BYTES]);

/* Whether SIGNATURE is valid for the answer (STATUS, BODY) to the request
   whose Authorization value was HEADER.  */
bool credential_check_answer (const credential_t *credential,
                              const char *header, unsigned status,
                              const void *body, size_t body_bytes,
                              const char *signature);

/* The result of verifying a request.  */
typedef enum
{
  CREDENTIAL_GOOD,
  CREDENTIAL_MISSING,   /* no Authorization header */
  CREDENTIAL_GARBAGE,   /* malformed Authorization header */
  CREDENTIAL_UNKNOWN,   /* no such operator */
  CREDENTIAL_WRONG_KEY, /* the signature does not match */
  CREDENTIAL_STALE,     /* outside the window, or before the VM's start */
  CREDENTIAL_REPLAY,    /* the nonce was seen before */
  CREDENTIAL_BUSY,      /* CREDENTIAL_NONCES_MAX nonces are stored */
  CREDENTIAL_VERDICTS,
} credential_verdict_t;

/* Verifies requests and stores the nonces that were seen, for replay
   protection.  Not thread-safe.  */
typedef struct credential_verifier credential_verifier_t;

/* CREDENTIALS must outlive the verifier.  STARTED is the current wall-clock
   time; requests signed before STARTED are refused.  NULL if memory runs
   out.  */
credential_verifier_t *
credential_verifier_new (const credentials_t *credentials, usec_t started);
void credential_verifier_free (credential_verifier_t *verifier);

/* Verify the Authorization value HEADER (NULL if the request has none) of
   REQUEST at wall-clock time NOW.  *WHO becomes the operator's credential if
   the verdict is CREDENTIAL_GOOD, else NULL.  A nonce is stored only if the
   signature is valid, so that unauthenticated senders can't fill the nonce
   table.  */
credential_verdict_t credential_verify (credential_verifier_t *verifier,
                                        const credential_request_t *request,
                                        const char *header, usec_t now,
                                        const credential_t **who);

/* The verdict's name in logs and counters, for example "wrong_key".  */
const char *credential_verdict_name (credential_verdict_t verdict);

/* Set ERR to the error for the sender of the request.  An unknown operator and
   a wrong key give the same error, so that operators' names can't be probed.
   ERR is unchanged for CREDENTIAL_GOOD.  */
void credential_verdict_error (credential_verdict_t verdict, err_t *err);

#endif
