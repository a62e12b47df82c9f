#include "fleet/cold_datagram.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

/* Begins what the MAC covers, so that no other message with the same key has
   the same MAC.  */
static const char label[] = "mulberry-cold-datagram";

enum
{
  ADDRESS_WORD_BYTES = 4,
};

static unsigned char *
put_address (unsigned char *at, uint32_t address)
{
  for (int shift = 24; shift >= 0; shift -= 8)
    *at++ = (unsigned char)(address >> shift);
  return at;
}

/* Write the MAC of the LENGTH bytes at BODY to MAC.  */
static void
compute_mac (const cold_datagram_t *datagram, const unsigned char *key,
             const unsigned char *body, size_t length, unsigned char *mac)
{
  unsigned char
      covered[sizeof label + 2 * ADDRESS_WORD_BYTES + COLD_DATAGRAM_BYTES_MAX];
  memcpy (covered, label, sizeof label);
  unsigned char *at = covered + sizeof label;
  at = put_address (at, datagram->from);
  at = put_address (at, datagram->to);
  memcpy (at, body, length);
  unsigned int mac_bytes = COLD_DATAGRAM_MAC_BYTES;
  HMAC (EVP_sha256 (), key, COLD_DATAGRAM_KEY_BYTES, covered,
        (size_t)(at - covered) + length, mac, &mac_bytes);
}

size_t
cold_datagram_seal (const cold_datagram_t *datagram, const unsigned char *key,
                    unsigned char *bytes, size_t length)
{
  compute_mac (datagram, key, bytes, length, bytes + length);
  return length + COLD_DATAGRAM_MAC_BYTES;
}

size_t
cold_datagram_write (const cold_datagram_t *datagram, const unsigned char *key,
                     usec_t now, unsigned char *bytes)
{
  fleet_cold_t colds[COLD_DATAGRAM_REPORTS_MAX];
  cold_wire_write (datagram->reports, datagram->n, colds, now);
  fleet_cold_datagram_t wire
      = { .format = COLD_DATAGRAM_FORMAT,
          .incarnation = datagram->incarnation,
          .sequence = datagram->sequence,
          .groups = datagram->groups,
          .colds = { .colds_len = (u_int)datagram->n, .colds_val = colds } };
  XDR xdr;
  xdrmem_create (&xdr, (char *)bytes,
                 COLD_DATAGRAM_BYTES_MAX - COLD_DATAGRAM_MAC_BYTES,
                 XDR_ENCODE);
  if (!xdr_fleet_cold_datagram_t (&xdr, &wire))
    abort ();
  return cold_datagram_seal (datagram, key, bytes, xdr_getpos (&xdr));
}

/* Whether the LENGTH bytes at BODY are one message and no more; it is decoded
   into *WIRE, which is released with xdr_free in any case.  */
static bool
decode (const unsigned char *body, size_t length, fleet_cold_datagram_t *wire)
{
  XDR xdr;
  xdrmem_create (&xdr, (char *)(uintptr_t)body, (u_int)length, XDR_DECODE);
  return xdr_fleet_cold_datagram_t (&xdr, wire) && xdr_getpos (&xdr) == length;
}

static cold_datagram_verdict_t
read_wire (cold_datagram_t *datagram, const fleet_cold_datagram_t *wire,
           usec_t now)
{
  if (wire->format != COLD_DATAGRAM_FORMAT)
    return COLD_DATAGRAM_OTHER_FORMAT;
  datagram->incarnation = wire->incarnation;
  datagram->sequence = wire->sequence;
  datagram->groups = wire->groups;
  datagram->n = wire->colds.colds_len;
  cold_wire_read (wire->colds.colds_val, datagram->n, datagram->reports, now);
  return COLD_DATAGRAM_GOOD;
}

cold_datagram_verdict_t
cold_datagram_read (cold_datagram_t *datagram, const unsigned char *key,
                    usec_t now, const unsigned char *bytes, size_t length)
{
  if (length < COLD_DATAGRAM_MAC_BYTES || length > COLD_DATAGRAM_BYTES_MAX)
    return COLD_DATAGRAM_MALFORMED;
  size_t body = length - COLD_DATAGRAM_MAC_BYTES;
  unsigned char mac[COLD_DATAGRAM_MAC_BYTES];
  compute_mac (datagram, key, bytes, body, mac);
  if (CRYPTO_memcmp (mac, bytes + body, sizeof mac) != 0)
    return COLD_DATAGRAM_FORGED;
  fleet_cold_datagram_t wire = { 0 };
  cold_datagram_verdict_t verdict = decode (bytes, body, &wire)
                                        ? read_wire (datagram, &wire, now)
                                        : COLD_DATAGRAM_MALFORMED;
  xdr_free ((xdrproc_t)xdr_fleet_cold_datagram_t, (char *)&wire);
  return verdict;
}
