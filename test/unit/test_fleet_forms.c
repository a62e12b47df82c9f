/* Guards against a message or a stored record that another version misreads:
   the bytes of each form, as an earlier build wrote them, are read by this
   one, and this one writes the same.

   A form that is to change becomes a new item (fleet/message_items) or a new
   record; these bytes stay as they are.  They were written by

     test_fleet_forms --record FOLDER

   of the build that the folder's README names.  */

#include <glib.h>
#include <string.h>

#include "fleet/fleet_wire.h"

enum
{
  FORM_BYTES_MAX = 4096,
};

static char ids[2][8] = { "b-1", "b-2" };
static char packed_bytes[] = { 1, 2, 3 };

#define PACKED                                                                \
  {                                                                           \
    .fleet_packed_t_len = sizeof packed_bytes,                                \
    .fleet_packed_t_val = packed_bytes                                        \
  }
#define ARRAY(name, items) .name = { G_N_ELEMENTS (items), items }

static fleet_fingerprint_t fingerprints[] = { { 1, 2 }, { 3, 4 } };
static fleet_crash_t crashes[] = { { 5, 6, 7 } };
static fleet_suspect_t suspects[] = { { .fingerprint = { 8, 9 },
                                        .completed_age = -1,
                                        .is_released = true,
                                        .released_age = 10,
                                        ARRAY (crashes, crashes) } };
static fleet_notice_t notices[] = { { 11, true, 12, 13 } };
static fleet_usage_t usages[] = { { 14, 15, 16 } };
static fleet_load_t loads[] = { { 17, 18, 19, 20 }, { 21, 22, 23, 24 } };
static fleet_cold_t colds[] = { { 25, 26 } };
static fleet_quota_t quotas[] = { { 27, 1.5, 2.5 } };
static fleet_total_t totals[] = { { 28, 29, 30 } };
static fleet_bucket_t buckets[] = { { { 31, 3.5, 4.5 }, 32 } };
static fleet_reopened_t reopened[] = { { ids[0], 33 } };
static fleet_release_t releases[] = { { { 34, 35 }, 36 } };
static fleet_name_t names[] = { ids[0], ids[1] };
static fleet_id_t gone[] = { ids[1] };
static fleet_packed_t deltas[] = { PACKED };
static uint32_t addresses[] = { 37, 38 };
static fleet_router_t routers[]
    = { { ids[0], ids[1], ids[0], 39, 40, 41, true, false, 42 } };
static fleet_peer_t peers[] = { { 43, 44, true, ids[0] } };
static fleet_backend_t backends[]
    = { { ids[0], ids[1], ids[0], 45, 46, true, 47, 48, 49, 50 } };

#define LIST_UPDATE                                                           \
  {                                                                           \
    .digest = 51, .read_at = 52, .age = 53, .whole = PACKED,                  \
    ARRAY (deltas, deltas)                                                    \
  }

static fleet_pull_args_t pull
    = { .router = { ids[0], ids[1], ids[0], 54, 55, 56, true, true, 57 },
        .config_version = 58,
        .list_digest = 59,
        .routers_digest = 60,
        .wants_routers = true,
        ARRAY (suspects, suspects),
        .quarantine_digest = 61,
        .tells_notices = true,
        ARRAY (notices, notices),
        ARRAY (usages, usages),
        ARRAY (loads, loads),
        .source = 62,
        .loads_known = 63,
        ARRAY (colds, colds),
        .colds_known = 64 };

static fleet_pull_result_t pull_result
    = { .confirmed_age = 65,
        .config_version = 66,
        .config = { sizeof packed_bytes, packed_bytes },
        .evacuations_index = 67,
        ARRAY (evacuated, names),
        .routers_digest = 68,
        .routers = PACKED,
        .list = LIST_UPDATE,
        ARRAY (directors, addresses),
        ARRAY (reopened, reopened),
        .quarantine_digest = 69,
        ARRAY (quarantined, fingerprints),
        ARRAY (on_trial, fingerprints),
        ARRAY (releases, releases),
        ARRAY (quotas, quotas),
        ARRAY (loads, loads),
        .source = 70,
        .loads_known = 71,
        ARRAY (colds, colds),
        .colds_known = 72 };

static fleet_share_args_t share = { .address = 73,
                                    .slot = 2,
                                    .routers = PACKED,
                                    .confirmed_index = 74,
                                    .roster = { ARRAY (addresses, addresses) },
                                    .list = LIST_UPDATE,
                                    ARRAY (suspects, suspects),
                                    .incarnation = 75,
                                    .sent_at = 76,
                                    ARRAY (totals, totals),
                                    ARRAY (buckets, buckets),
                                    ARRAY (loads, loads),
                                    ARRAY (colds, colds) };

static fleet_share_result_t share_result = { 77, 78 };
static fleet_announce_args_t announce
    = { 79, true, { ARRAY (addresses, addresses) } };
static fleet_announce_result_t announce_result
    = { { ARRAY (addresses, addresses) } };
static fleet_agree_args_t agree
    = { 80, { sizeof packed_bytes, packed_bytes } };
static fleet_routers_t router_list = { ARRAY (routers, routers) };
static fleet_peers_t peer_list = { ARRAY (peers, peers) };
static fleet_list_t backend_list = { ARRAY (backends, backends) };
static fleet_delta_t delta = {
  .digest = 81, .read_at = 82, ARRAY (gone, gone), ARRAY (changed, backends)
};
static fleet_cold_datagram_t datagram = { .format = 1,
                                          .incarnation = 83,
                                          .sequence = 84,
                                          .groups = 85,
                                          ARRAY (colds, colds) };
static fleet_command_t config
    = { FLEET_COMMAND_CONFIG,
        { .config = { 86, { sizeof packed_bytes, packed_bytes } } } };
static fleet_command_t evacuate
    = { FLEET_COMMAND_EVACUATE, { .evacuate = ids[0] } };
static fleet_command_t take_back
    = { FLEET_COMMAND_TAKE_BACK, { .take_back = ids[1] } };
static fleet_state_t state = { .config_version = 87,
                               .text = { sizeof packed_bytes, packed_bytes },
                               .evacuations_index = 88,
                               ARRAY (evacuated, names) };

typedef struct form
{
  const char *name;
  xdrproc_t filter;
  void *sample;
  size_t size;
} form_t;

#define FORM(name, type, sample)                                              \
  {                                                                           \
    name, (xdrproc_t)xdr_##type, &(sample), sizeof (type)                     \
  }

static const form_t forms[] = {
  FORM ("pull", fleet_pull_args_t, pull),
  FORM ("pull-result", fleet_pull_result_t, pull_result),
  FORM ("share", fleet_share_args_t, share),
  FORM ("share-result", fleet_share_result_t, share_result),
  FORM ("announce", fleet_announce_args_t, announce),
  FORM ("announce-result", fleet_announce_result_t, announce_result),
  FORM ("agree", fleet_agree_args_t, agree),
  FORM ("routers", fleet_routers_t, router_list),
  FORM ("peers", fleet_peers_t, peer_list),
  FORM ("list", fleet_list_t, backend_list),
  FORM ("delta", fleet_delta_t, delta),
  FORM ("cold-datagram", fleet_cold_datagram_t, datagram),
  FORM ("command-config", fleet_command_t, config),
  FORM ("command-evacuate", fleet_command_t, evacuate),
  FORM ("command-take-back", fleet_command_t, take_back),
  FORM ("state", fleet_state_t, state),
};

/* Write VALUE by FILTER to BYTES, FORM_BYTES_MAX.  Returns the length.  */
static gsize
encode (xdrproc_t filter, void *value, char *bytes)
{
  XDR xdr;
  xdrmem_create (&xdr, bytes, FORM_BYTES_MAX, XDR_ENCODE);
  g_assert_true (filter (&xdr, value));
  return xdr_getpos (&xdr);
}

static void
assert_same_bytes (const char *bytes, gsize length, const char *recorded,
                   gsize recorded_length)
{
  g_assert_cmpmem (bytes, length, recorded, recorded_length);
}

static void
test_form (gconstpointer data)
{
  const form_t *form = data;
  char bytes[FORM_BYTES_MAX];
  char again[FORM_BYTES_MAX];
  g_autofree char *path
      = g_strdup_printf ("%s/test/data/forms/1/%s", SOURCE_DIR, form->name);
  g_autofree char *recorded = NULL;
  gsize length = 0;
  g_assert_true (g_file_get_contents (path, &recorded, &length, NULL));
  assert_same_bytes (bytes, encode (form->filter, form->sample, bytes),
                     recorded, length);
  g_autofree void *value = g_malloc0 (form->size);
  XDR xdr;
  xdrmem_create (&xdr, recorded, (u_int)length, XDR_DECODE);
  g_assert_true (form->filter (&xdr, value));
  g_assert_cmpuint (xdr_getpos (&xdr), ==, length);
  assert_same_bytes (again, encode (form->filter, value, again), recorded,
                     length);
  xdr_free (form->filter, value);
}

static void
record (const char *folder)
{
  char bytes[FORM_BYTES_MAX];
  for (size_t i = 0; i < G_N_ELEMENTS (forms); i++)
    {
      g_autofree char *path = g_build_filename (folder, forms[i].name, NULL);
      gsize length = encode (forms[i].filter, forms[i].sample, bytes);
      g_assert_true (g_file_set_contents (path, bytes, (gssize)length, NULL));
    }
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
      g_autofree char *path
          = g_strdup_printf ("/fleet/forms/%s", forms[i].name);
      g_test_add_data_func (path, &forms[i], test_form);
    }
  return g_test_run ();
}
