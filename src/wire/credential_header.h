/* credential_header: the parts of a signed request's Authorization header.
   Internal to the credential files.  */

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

/* Read exactly 2 N lower-case hexadecimal digits into BYTES.  */
bool credential_hex_read (const char *text, unsigned char *bytes, size_t n);

/* The MAC of REQUEST with HEADER's other fields; false where the request's
   strings are too long to be signed.  */
bool credential_mac (const credential_t *credential,
                     const credential_request_t *request,
                     const credential_header_t *header,
                     unsigned char mac[CREDENTIAL_MAC_BYTES]);

#endif
