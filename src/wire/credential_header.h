/* credential_header: the decoded fields of a signed request's Authorization
   header.  Internal to credential.c and credential_verifier.c.  */

#ifndef WIRE_CREDENTIAL_HEADER_H
#define WIRE_CREDENTIAL_HEADER_H

#include "wire/credential.h"

typedef struct credential_header
{
  name_t operator_name;
  int64_t time; /* wall clock, microseconds */
  unsigned char nonce[CREDENTIAL_NONCE_BYTES];
  unsigned char mac[CREDENTIAL_MAC_BYTES];
} credential_header_t;

/* Decode TEXT into the N BYTES.  False unless TEXT is exactly 2 N lower-case
   hexadecimal digits.  */
bool credential_hex_read (const char *text, unsigned char *bytes, size_t n);

/* Compute the MAC of REQUEST with HEADER's operator, time and nonce.  False if
   the text to sign exceeds its buffer; MAC is then unchanged.  */
bool credential_mac (const credential_t *credential,
                     const credential_request_t *request,
                     const credential_header_t *header,
                     unsigned char mac[CREDENTIAL_MAC_BYTES]);

#endif
