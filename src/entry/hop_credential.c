#include "entry/hop_credential.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/number.h"

enum
{
  MAC_BYTES = 16, /* of HMAC-SHA256's 32; the rest is cut off */
  TEXT_BYTES = 4096,
};

void
hop_credential_write (char text[HOP_CREDENTIAL_BYTES], const hop_t *hop,
                      const ticket_key_t *key)
{
  char input[TEXT_BYTES];
  int n = snprintf (input, sizeof input, "hop\n%u\n%s\n%s\n%s\n%s", hop->vm,
                    hop->id, hop->method, hop->ticket, hop->target);
  if (n >= (int)sizeof input)
    n = sizeof input - 1;
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int mac_bytes = 0;
  HMAC (EVP_sha256 (), key->bytes, TICKET_KEY_BYTES,
        (const unsigned char *)input, (size_t)n, mac, &mac_bytes);
  int used = snprintf (text, HOP_CREDENTIAL_BYTES, "%u:", hop->vm);
  for (int i = 0; i < MAC_BYTES; i++)
    used += snprintf (text + used, HOP_CREDENTIAL_BYTES - (size_t)used, "%02x",
                      mac[i]);
}

bool
hop_credential_check (const char *text, hop_t *hop, const ticket_key_t *key)
{
  uint64_t vm;
  size_t length = strcspn (text, ":");
  if (number_parse_unsigned_span (&vm, text, length, TOPOLOGY_NONE - 1)
          != NUMBER_OK
      || text[length] != ':')
    return false;
  hop->vm = (vm_id_t)vm;
  char expected[HOP_CREDENTIAL_BYTES];
  hop_credential_write (expected, hop, key);
  return strlen (text) == strlen (expected)
         && CRYPTO_memcmp (text, expected, strlen (expected)) == 0;
}
