/* Encoding of the messages between replicas at the largest sizes.  */

#include <glib.h>

#include "agreement/message.h"

static replica_config_t
largest_config (void)
{
  replica_config_t config = { .cluster = 7, .n_slots = REPLICAS_MAX };
  for (int slot = 0; slot < REPLICAS_MAX; slot++)
    config.incarnation[slot] = 1000 + (uint64_t)slot;
  return config;
}

/* Encodes and decodes MESSAGE, which must fit.  */
static message_t
round_trip (const message_t *message)
{
  message_t decoded;
  blob_t *blob = message_encode (message);
  g_assert_true (message_decode (&decoded, blob->bytes, blob->length, NULL));
  blob_unref (blob);
  return decoded;
}

/* Guards against a process that ends when a cluster with the most replicas
   possible is bootstrapped.  */
static void
test_bootstrap (void)
{
  const replica_config_t config = largest_config ();
  message_t message = { .kind = MESSAGE_BOOTSTRAP, .to = REPLICAS_MAX - 1 };
  message.body.bootstrap = config;
  message_t decoded = round_trip (&message);
  g_assert_cmpmem (&decoded.body.bootstrap, sizeof config, &config,
                   sizeof config);
  message_clear (&decoded);
}

/* Guards against a process that ends when it sends a snapshot in such a
   cluster.  */
static void
test_snapshot (void)
{
  message_t message = { .kind = MESSAGE_SNAPSHOT, .to = REPLICAS_MAX - 1 };
  snapshot_chunk_t *chunk = &message.body.snapshot;
  chunk->config = largest_config ();
  chunk->total_bytes = SNAPSHOT_CHUNK_BYTES;
  chunk->data = blob_new (NULL, SNAPSHOT_CHUNK_BYTES);
  message_t decoded = round_trip (&message);
  g_assert_cmpmem (&decoded.body.snapshot.config, sizeof chunk->config,
                   &chunk->config, sizeof chunk->config);
  message_clear (&decoded);
  message_clear (&message);
}

/* Guards against slots beyond the largest cluster, which index arrays.  */
static void
test_slot_out_of_range (void)
{
  const message_t message = { .kind = MESSAGE_JOIN, .to = REPLICAS_MAX - 1 };
  blob_t *blob = message_encode (&message);
  message_t decoded;
  /* XDR writes a slot as four bytes; TO follows the kind and FROM.  */
  g_assert_cmpuint (blob->bytes[11], ==, REPLICAS_MAX - 1);
  blob->bytes[11] = REPLICAS_MAX;
  g_assert_false (message_decode (&decoded, blob->bytes, blob->length, NULL));
  blob_unref (blob);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/agreement/message/bootstrap", test_bootstrap);
  g_test_add_func ("/agreement/message/snapshot", test_snapshot);
  g_test_add_func ("/agreement/message/slot", test_slot_out_of_range);
  return g_test_run ();
}
