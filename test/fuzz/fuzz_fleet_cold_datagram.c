/* fuzz-runs: 60000 */
/* Fuzz target: datagrams on cold backend servers, as another router may write
   them, and what is told on after them.  The first byte says whether the rest
   gets a valid MAC.  */

#include <string.h>

#include "../support/fuzz_input.h"
#include "fleet/cold_spread.h"

#define NOW (1000 * USEC_PER_SEC)
#define LATER (NOW + 2 * COLD_LEFT_MAX)

enum
{
  ROUTERS = 9,
  BODY_BYTES_MAX = COLD_DATAGRAM_BYTES_MAX - COLD_DATAGRAM_MAC_BYTES,
};

static const unsigned char key[COLD_DATAGRAM_KEY_BYTES] = { 1 };

static void
tell_on (cold_spread_t *spread)
{
  static cold_batch_t batch;
  while (cold_spread_next (spread, NOW, &batch))
    {
      require (batch.groups == 0, "nothing is relayed twice");
      require (batch.n > 0 && batch.n <= COLD_DATAGRAM_REPORTS_MAX, "reports");
      require (batch.n_to < ROUTERS, "routers");
      for (size_t i = 0; i < batch.n; i++)
        require (batch.reports[i].until > NOW
                     && batch.reports[i].until <= NOW + COLD_LEFT_MAX,
                 "a limit that ends");
    }
}

static void
hear (const cold_datagram_t *datagram)
{
  cold_spread_t spread;
  uint32_t addresses[ROUTERS];
  for (uint32_t i = 0; i < ROUTERS; i++)
    addresses[i] = i + 1;
  cold_spread_init (&spread, datagram->to, 1);
  cold_spread_set_routers (&spread, addresses, ROUTERS);
  bool is_heard = cold_spread_hear (&spread, datagram, NOW);
  require (!cold_spread_hear (&spread, datagram, NOW), "heard once");
  tell_on (&spread);
  require (is_heard || spread.known.n == 0, "ignored");
  cold_spread_expire (&spread, LATER);
  require (spread.known.n == 0, "all end");
  cold_spread_clear (&spread);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  unsigned char bytes[COLD_DATAGRAM_BYTES_MAX];
  fuzz_input_t input = { .data = data, .size = size };
  bool is_sealed = fuzz_next_byte (&input) % 8 != 0;
  size_t length = input.size < BODY_BYTES_MAX ? input.size : BODY_BYTES_MAX;
  cold_datagram_t datagram = { .from = 1, .to = 2 };
  if (length > 0)
    memcpy (bytes, input.data, length);
  if (is_sealed)
    length = cold_datagram_seal (&datagram, key, bytes, length);
  cold_datagram_verdict_t verdict
      = cold_datagram_read (&datagram, key, NOW, bytes, length);
  require (is_sealed || verdict != COLD_DATAGRAM_GOOD, "not forged");
  if (verdict != COLD_DATAGRAM_GOOD)
    return 0;
  require (datagram.n <= COLD_DATAGRAM_REPORTS_MAX, "reports");
  hear (&datagram);
  return 0;
}
