/* cold_datagram: reports of cold backend servers that a router sends to
   another one itself, as one UDP datagram.

   The datagram ends with an HMAC-SHA256 over the addresses of both routers and
   the rest, with the key that all VMs share.  So it can neither be forged nor
   be used again at another router; the receiver refuses sequence numbers that
   don't increase (fleet/cold_spread).  No I/O and no clock.  */

#ifndef FLEET_COLD_DATAGRAM_H
#define FLEET_COLD_DATAGRAM_H

#include "fleet/cold_wire.h"

enum
{
  COLD_DATAGRAM_FORMAT = 1,
  COLD_DATAGRAM_REPORTS_MAX = FLEET_WIRE_TOLD_COLDS_MAX,
  COLD_DATAGRAM_KEY_BYTES = 32,
  COLD_DATAGRAM_MAC_BYTES = 32,
  COLD_DATAGRAM_REPORT_BYTES = 12,
  /* Without reports.  */
  COLD_DATAGRAM_BYTES_MIN = 28 + COLD_DATAGRAM_MAC_BYTES,
  COLD_DATAGRAM_BYTES_MAX
  = COLD_DATAGRAM_BYTES_MIN
    + COLD_DATAGRAM_REPORTS_MAX * COLD_DATAGRAM_REPORT_BYTES,
};

typedef struct cold_datagram
{
  uint32_t from; /* addresses of the routers, in host byte order */
  uint32_t to;
  uint64_t incarnation; /* of the sender's process */
  uint64_t sequence;
  uint32_t
      groups; /* the receiver tells its one of so many groups; 0: nobody */
  size_t n;
  cold_report_t reports[COLD_DATAGRAM_REPORTS_MAX];
} cold_datagram_t;

typedef enum
{
  COLD_DATAGRAM_GOOD,
  COLD_DATAGRAM_FORGED, /* another key, other addresses, or changed */
  COLD_DATAGRAM_MALFORMED,
  COLD_DATAGRAM_OTHER_FORMAT,
} cold_datagram_verdict_t;

/* Encode DATAGRAM, which is sent at NOW, into BYTES, which have room for
   COLD_DATAGRAM_BYTES_MAX.  Returns how many it takes.  */
size_t cold_datagram_write (const cold_datagram_t *datagram,
                            const unsigned char *key, usec_t now,
                            unsigned char *bytes);

/* Write the MAC of the LENGTH bytes at BYTES, which travel between the
   addresses of DATAGRAM, after them.  Returns the length with it.  */
size_t cold_datagram_seal (const cold_datagram_t *datagram,
                           const unsigned char *key, unsigned char *bytes,
                           size_t length);

/* Decode the LENGTH bytes at BYTES, which arrived at NOW, into *DATAGRAM,
   whose `from` and `to` say between which addresses they travelled.  *DATAGRAM
   is valid only if the result is COLD_DATAGRAM_GOOD.  */
cold_datagram_verdict_t
cold_datagram_read (cold_datagram_t *datagram, const unsigned char *key,
                    usec_t now, const unsigned char *bytes, size_t length);

#endif
