/* Guards against a message between replicas or a record in their log that
   another version misreads: the bytes of each form, as an earlier build wrote
   them, are read by this one, and this one writes the same.  What a later
   build adds behind them is passed over.

   The bytes were written by

     test_agreement_forms --record FOLDER

   of the build that the folder's README names.  */

#include <glib.h>
#include <string.h>

#include "agreement/message.h"
#include "agreement/storage.h"
#include "agreement/storage_record.h"

enum
{
  N_ENTRIES = 5,
  ADDED_BYTES = 8, /* by a later build */
  RECORD_BYTES_MAX = 4096,
  N_SLOTS = 3,
};

static const char bytes[] = { 1, 2, 3 };

static replica_config_t
sample_config (void)
{
  return (replica_config_t){ .cluster = 1,
                             .n_slots = N_SLOTS,
                             .incarnation = { 2, 3, 4 } };
}

/* One of each kind.  */
static void
add_entries (entry_t *entries[N_ENTRIES])
{
  name_t operator_name = { .text = "op" };
  blob_t *content = blob_new (bytes, sizeof bytes);
  entries[0] = entry_new (ENTRY_NOOP);
  entries[1] = entry_new_sheet (5, &operator_name, content);
  entries[2] = entry_new (ENTRY_VOTER_CHANGE);
  entries[2]->body.voter_change = (voter_change_t){ .slot = 2,
                                                    .old_incarnation = 6,
                                                    .new_incarnation = 7 };
  entries[3] = entry_new (ENTRY_GRANT);
  entries[3]->body.grant = blob_ref (content);
  entries[4] = entry_new_command (content);
  blob_unref (content);
  for (uint64_t i = 0; i < N_ENTRIES; i++)
    {
      entries[i]->index = 11 + i;
      entries[i]->term = 8;
    }
}

static void
make_vote_request (message_t *message)
{
  message->body.vote_request = (vote_request_t){ true, 9, 10 };
}

static void
make_vote_response (message_t *message)
{
  message->body.vote_response = (vote_response_t){ true, true };
}

static void
make_append (message_t *message)
{
  append_t *append = &message->body.append;
  *append = (append_t){ .prev_index = 10,
                        .prev_term = 11,
                        .commit_index = 12,
                        .sent_at = 13,
                        .n_entries = N_ENTRIES };
  add_entries (append->entries);
}

static void
make_append_response (message_t *message)
{
  message->body.append_response = (append_response_t){ true, 14, 15 };
}

static void
make_snapshot (message_t *message)
{
  message->body.snapshot
      = (snapshot_chunk_t){ .index = 16,
                            .index_term = 17,
                            .config = sample_config (),
                            .sent_at = 18,
                            .offset = 0,
                            .total_bytes = sizeof bytes,
                            .data = blob_new (bytes, sizeof bytes) };
}

static void
make_snapshot_response (message_t *message)
{
  message->body.snapshot_response = (snapshot_response_t){ 19, 20, true, 21 };
}

static void
make_join (message_t *message)
{
  message->body.join.is_blank = true;
}

static void
make_bootstrap (message_t *message)
{
  message->body.bootstrap = sample_config ();
}

static void
make_log_query (message_t *message)
{
  message->body.log_query.sent_at = 22;
}

static void
make_log_status (message_t *message)
{
  message->body.log_status = (log_status_t){ 23, 24, 25 };
}

typedef struct form
{
  const char *name;
  message_kind_t kind;
  void (*make) (message_t *message);
} form_t;

static const form_t forms[]
    = { { "agreement-vote-request", MESSAGE_VOTE_REQUEST, make_vote_request },
        { "agreement-vote-response", MESSAGE_VOTE_RESPONSE,
          make_vote_response },
        { "agreement-append", MESSAGE_APPEND, make_append },
        { "agreement-append-response", MESSAGE_APPEND_RESPONSE,
          make_append_response },
        { "agreement-snapshot", MESSAGE_SNAPSHOT, make_snapshot },
        { "agreement-snapshot-response", MESSAGE_SNAPSHOT_RESPONSE,
          make_snapshot_response },
        { "agreement-join", MESSAGE_JOIN, make_join },
        { "agreement-bootstrap", MESSAGE_BOOTSTRAP, make_bootstrap },
        { "agreement-log-query", MESSAGE_LOG_QUERY, make_log_query },
        { "agreement-log-status", MESSAGE_LOG_STATUS, make_log_status } };

static blob_t *
write_message (const form_t *form)
{
  message_t message = { .kind = form->kind,
                        .from = 1,
                        .to = 2,
                        .from_incarnation = 26,
                        .to_incarnation = 27,
                        .cluster = 28,
                        .term = 29 };
  form->make (&message);
  blob_t *written = message_encode (&message);
  message_clear (&message);
  return written;
}

/* The payload of a record that changes the stored log, or REPLACES it.  */
static blob_t *
write_record (bool replaces)
{
  entry_t *entries[N_ENTRIES];
  add_entries (entries);
  persist_t persist = { .incarnation = 30,
                        .vote = { .term = 31, .slot = 1, .incarnation = 32 },
                        .replaces_log = replaces,
                        .keep_index = 10,
                        .n_entries = N_ENTRIES,
                        .entries = entries };
  if (replaces)
    persist.snapshot
        = (replica_snapshot_t){ .index = 10,
                                .term = 7,
                                .config = sample_config (),
                                .data = blob_new (bytes, sizeof bytes) };
  blob_t *written = storage_encode (&persist);
  blob_unref (persist.snapshot.data);
  for (size_t i = 0; i < N_ENTRIES; i++)
    entry_unref (entries[i]);
  return written;
}

static char *
read_recorded (const char *name, gsize *length)
{
  g_autofree char *path
      = g_strdup_printf ("%s/test/data/forms/1/%s", SOURCE_DIR, name);
  char *recorded = NULL;
  g_assert_true (g_file_get_contents (path, &recorded, length, NULL));
  return recorded;
}

/* RECORDED with what a later build might add.  */
static char *
with_more (const char *recorded, gsize length)
{
  char *longer = g_malloc0 (length + ADDED_BYTES);
  memcpy (longer, recorded, length);
  memset (longer + length, 1, ADDED_BYTES);
  return longer;
}

/* Check that a message of LENGTH bytes says what RECORDED does.  */
static void
assert_reads (const char *message, gsize length, const char *recorded,
              gsize recorded_length)
{
  message_t decoded;
  g_assert_true (message_decode (&decoded, message, length, NULL));
  blob_t *again = message_encode (&decoded);
  g_assert_cmpmem (again->bytes, again->length, recorded, recorded_length);
  blob_unref (again);
  message_clear (&decoded);
}

static void
test_message (gconstpointer data)
{
  const form_t *form = data;
  gsize length = 0;
  g_autofree char *recorded = read_recorded (form->name, &length);
  char *longer = with_more (recorded, length);
  blob_t *written = write_message (form);
  g_assert_cmpmem (written->bytes, written->length, recorded, length);
  assert_reads (recorded, length, recorded, length);
  assert_reads (longer, length + ADDED_BYTES, recorded, length);
  g_free (longer);
  blob_unref (written);
}

/* Append a record of PAYLOAD to the log DATA, of *LENGTH bytes.  */
static void
append_record (uint8_t *data, size_t *length, const char *payload,
               gsize payload_length)
{
  blob_t *blob = blob_new (payload, payload_length);
  record_header_encode (data + *length, blob, *length);
  *length += RECORD_HEADER_BYTES;
  memcpy (data + *length, payload, payload_length);
  size_t padded = record_padded_bytes (payload_length);
  memset (data + *length + payload_length, 0xff, padded - payload_length);
  *length += padded;
  blob_unref (blob);
}

static void
assert_image (const replica_image_t *image)
{
  log_index_t index = 10;
  g_assert_cmpuint (image->incarnation, ==, 30);
  g_assert_cmpuint (image->vote.term, ==, 31);
  g_assert_cmpuint (image->vote.incarnation, ==, 32);
  g_assert_cmpuint (image->snapshot.index, ==, index);
  g_assert_cmpmem (image->snapshot.data->bytes, image->snapshot.data->length,
                   bytes, sizeof bytes);
  LIST_FOREACH (link, &image->log)
  g_assert_cmpuint (LIST_ENTRY (link, entry_t, link)->index, ==, ++index);
  g_assert_cmpuint (index, ==, 10 + N_ENTRIES);
}

/* Check that a log of a first and a later record is read, each with ADDED
   bytes behind it.  */
static void
assert_log_reads (gsize added)
{
  static const char *const names[] = { "record-first", "record-later" };
  uint8_t log[RECORD_BYTES_MAX];
  size_t length = 0;
  size_t end = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      gsize n = 0;
      g_autofree char *recorded = read_recorded (names[i], &n);
      char *longer = with_more (recorded, n);
      append_record (log, &length, longer, n + added);
      g_free (longer);
    }
  replica_image_t image;
  replica_image_init (&image);
  g_assert_true (records_read (&image, log, length, &end, NULL));
  g_assert_cmpuint (end, ==, length);
  assert_image (&image);
  replica_image_clear (&image);
}

static void
test_records (void)
{
  for (int i = 0; i < 2; i++)
    {
      bool replaces = i == 0;
      gsize length = 0;
      g_autofree char *recorded = read_recorded (
          replaces ? "record-first" : "record-later", &length);
      blob_t *written = write_record (replaces);
      g_assert_cmpmem (written->bytes, written->length, recorded, length);
      blob_unref (written);
    }
  assert_log_reads (0);
  assert_log_reads (ADDED_BYTES);
}

static void
store (const char *folder, const char *name, blob_t *written)
{
  g_autofree char *path = g_build_filename (folder, name, NULL);
  g_assert_true (g_file_set_contents (path, (const char *)written->bytes,
                                      (gssize)written->length, NULL));
  blob_unref (written);
}

static void
record (const char *folder)
{
  for (size_t i = 0; i < G_N_ELEMENTS (forms); i++)
    store (folder, forms[i].name, write_message (&forms[i]));
  store (folder, "record-first", write_record (true));
  store (folder, "record-later", write_record (false));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (argc == 3 && strcmp (argv[1], "--record") == 0)
    {
      record (argv[2]);
      return 0;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (forms); i++)
    {
      g_autofree char *path = g_strdup_printf ("/forms/%s", forms[i].name);
      g_test_add_data_func (path, &forms[i], test_message);
    }
  g_test_add_func ("/forms/records", test_records);
  return g_test_run ();
}
