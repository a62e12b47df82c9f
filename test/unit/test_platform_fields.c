/* Every field of the platform's messages: missing, null, of each other type
   and out of range.  Guards against a wrong type taken for a default, by which
   requests go to a backend server that no route names.  */

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "backend_list_codec.h"
#include "fleet/backend_list.h"

/* A value that each field is given in turn.  */
typedef struct variant
{
  const char *name;
  const char *json; /* NULL: the field is missing */
} variant_t;

static const variant_t variants[] = {
  { "missing", NULL },   { "null", "null" },
  { "false", "false" },  { "true", "true" },
  { "zero", "0" },       { "one", "1" },
  { "negative", "-1" },  { "real", "1.5" },
  { "empty", "\"\"" },   { "text", "\"text\"" },
  { "digits", "\"7\"" }, { "array", "[]" },
  { "numbers", "[7]" },  { "nulls", "[null]" },
  { "object", "{}" },    { "members", "{\"text\":null}" },
};

/* A field, and the names of the variants that it may have.  */
typedef struct field_case
{
  const char *path; /* the object, by its keys from the root on */
  const char *field;
  const char *accepted;
} field_case_t;

/* A value out of the field's range.  */
typedef struct value_case
{
  const char *path;
  const char *field;
  const char *json;
} value_case_t;

#define ALL                                                                   \
  "missing null false true zero one negative real empty text digits array "   \
  "numbers nulls object members"

static bool
is_accepted (const field_case_t *row, const char *variant)
{
  g_auto (GStrv) names = g_strsplit (row->accepted, " ", -1);
  return g_strv_contains ((const char *const *)names, variant);
}

/* The object at PATH, whose keys and indexes are parted by '/', in ROOT.  */
static json_t *
object_at (json_t *root, const char *path)
{
  if (!*path)
    return root;
  g_auto (GStrv) keys = g_strsplit (path, "/", -1);
  json_t *object = root;
  for (size_t i = 0; keys[i]; i++)
    object = json_is_array (object)
                 ? json_array_get (object, (size_t)(keys[i][0] - '0'))
                 : json_object_get (object, keys[i]);
  g_assert_true (json_is_object (object));
  return object;
}

/* TEXT with the field set to JSON, or without it; malloc'd.  */
static char *
text_with (const char *text, const char *path, const char *field,
           const char *json)
{
  json_t *root = json_loads (text, 0, NULL);
  g_assert_nonnull (root);
  json_t *object = object_at (root, path);
  if (json)
    json_object_set_new (object, field,
                         json_loads (json, JSON_DECODE_ANY, NULL));
  else
    json_object_del (object, field);
  char *changed = json_dumps (root, 0);
  json_decref (root);
  return changed;
}

/* --- The list of backend servers ---------------------------------------- */

#define ENTRY(id, more)                                                       \
  "{\"id\":\"" id "\",\"service\":\"search\",\"address\":\"10.0.0.9:80\","    \
  "\"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"cold_left\":"      \
  "\"0ms\"" more "}"

static const char whole_entry[]
    = ENTRY ("i-9", ",\"zone\":\"north-a\",\"born\":1700");

static const field_case_t entry_fields[] = {
  { "", "id", "text digits" },
  { "", "service", "text digits" },
  { "", "address", "" },
  { "", "zone", "missing" },
  { "", "version", "text digits" },
  { "", "capacity", "one" },
  { "", "state", "" },
  { "", "cold_left", "" },
  { "", "born", "missing zero one" },
  { "", "another", ALL },
};

static const value_case_t entry_values[] = {
  { "", "id", "\"i 9\"" },
  { "", "id", "\"i-\\u00e9\"" },
  { "", "service", "\"a b\"" },
  { "", "address", "\"10.0.0.9\"" },
  { "", "address", "\"10.0.0:80\"" },
  { "", "address", "\"10.0.0.256:80\"" },
  { "", "address", "\"10.0.0.9:0\"" },
  { "", "address", "\"10.0.0.9:65536\"" },
  { "", "address", "\"backend:80\"" },
  { "", "zone", "\"north-b\"" },
  { "", "zone", "\"NORTH-A\"" },
  { "", "capacity", "65537" },
  { "", "capacity", "3.0" },
  { "", "capacity", "\"3\"" },
  { "", "state", "\"asleep\"" },
  { "", "state", "\"READY\"" },
  { "", "cold_left", "\"-1s\"" },
  { "", "cold_left", "\"3\"" },
  { "", "cold_left", "\"3 s\"" },
  { "", "cold_left", "\"3m\"" },
  { "", "cold_left", "\"1e3s\"" },
  { "", "cold_left", "\"9999999999s\"" },
  { "", "born", "1700.0" },
  { "", "born", "-1700" },
  { "", "born", "9223372036854775807" },
  { "", "born", "\"1700\"" },
};

/* Reads a page with ENTRY between two others, which must be read; returns
   whether ENTRY was read too.  */
static bool
entry_is_read (const char *entry)
{
  backend_list_t list = { 0 };
  list_page_t page;
  g_autofree char *text = g_strconcat (
      "{\"instances\":{\"north-a\":[", ENTRY ("i-1", ""), ",", entry, ",",
      ENTRY ("i-2", ""), "]},\"next_token\":null}", NULL);
  g_assert_true (
      backend_list_codec_read (text, strlen (text), &list, &page, NULL));
  g_assert_cmpuint (list.n_records + page.n_skipped, ==, 3);
  g_assert_cmpuint (list.n_records, >=, 2);
  g_assert_cmpstr (list.records[0].id, ==, "i-1");
  g_assert_cmpstr (list.records[list.n_records - 1].id, ==, "i-2");
  bool is_read = list.n_records == 3;
  backend_list_clear (&list);
  return is_read;
}

static void
test_entry_fields (void)
{
  g_assert_true (entry_is_read (whole_entry));
  for (size_t i = 0; i < G_N_ELEMENTS (entry_fields); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (variants); j++)
      {
        const field_case_t *row = &entry_fields[i];
        char *entry
            = text_with (whole_entry, row->path, row->field, variants[j].json);
        if (entry_is_read (entry) != is_accepted (row, variants[j].name))
          {
            g_test_message ("%s %s: %s", row->field, variants[j].name, entry);
            g_test_fail ();
          }
        free (entry);
      }
}

static void
assert_entry_skipped (const char *entry)
{
  if (!entry_is_read (entry))
    return;
  g_test_message ("was read: %s", entry);
  g_test_fail ();
}

static void
test_entry_values (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (entry_values); i++)
    {
      char *entry = text_with (whole_entry, "", entry_values[i].field,
                               entry_values[i].json);
      assert_entry_skipped (entry);
      free (entry);
    }
  g_autofree char *long_id = g_strnfill (BACKEND_ID_BYTES, 'i');
  g_autofree char *json = g_strdup_printf ("\"%s\"", long_id);
  char *entry = text_with (whole_entry, "", "id", json);
  assert_entry_skipped (entry);
  free (entry);
  assert_entry_skipped (ENTRY ("i-9", ",\"id\":\"i-8\""));
  assert_entry_skipped (ENTRY ("i-9", ",\"service\":\"archive\""));
  assert_entry_skipped (ENTRY ("i-9", ",\"zone\":{\"zone\":\"north-a\"}"));
}

/* The entry of the second review's case 10.  */
static void
test_entry_of_another_writer (void)
{
  assert_entry_skipped (
      "{\"id\":\"i-7\",\"service\":\"search\",\"address\":\"10.0.0.7:80\","
      "\"zone\":12,\"version\":7,\"capacity\":8,\"state\":\"ready\","
      "\"cold_left\":null,\"born\":1780000000000}");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/fields/entry", test_entry_fields);
  g_test_add_func ("/platform/fields/entry-values", test_entry_values);
  g_test_add_func ("/platform/fields/entry-of-another-writer",
                   test_entry_of_another_writer);
  return g_test_run ();
}
