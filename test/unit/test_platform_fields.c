/* Every field of the platform's messages: missing, null, of each other type
   and out of range.  Guards against a wrong type taken for a default, by which
   requests go to a backend server that no route names.  */

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "backend_list_codec.h"
#include "config_codec.h"
#include "fleet/backend_list.h"
#include "routing/route_config.h"

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

/* Reads a page with ENTRY between two others, which must be read.  Returns the
   field for which ENTRY was skipped; NULL if it was read too.  */
static const char *
skipped_field (const char *entry)
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
  g_assert_cmpint (page.skipped_field == NULL, ==, list.n_records == 3);
  backend_list_clear (&list);
  return page.skipped_field;
}

static void
test_entry_fields (void)
{
  g_assert_null (skipped_field (whole_entry));
  for (size_t i = 0; i < G_N_ELEMENTS (entry_fields); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (variants); j++)
      {
        const field_case_t *row = &entry_fields[i];
        char *entry
            = text_with (whole_entry, row->path, row->field, variants[j].json);
        const char *expected
            = is_accepted (row, variants[j].name) ? NULL : row->field;
        if (g_strcmp0 (skipped_field (entry), expected) != 0)
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
  if (skipped_field (entry))
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

/* --- Configurations ------------------------------------------------------ */

static const char whole_config[]
    = "{\"version\":\"0000001f\",\"routes\":{"
      "\"one\":{\"host\":\"a.example\",\"path_prefix\":\"/x/\",\"route_kind\":"
      "\"idempotent\",\"timeout\":\"800ms\",\"target_latency\":\"400ms\","
      "\"priority\":2,\"service\":\"search\",\"attempts\":2,\"sticky\":true,"
      "\"anonymous\":false,\"home_regions\":[\"north\"]},"
      "\"two\":{\"host\":\"a.example\",\"path_prefix\":\"/y/\",\"route_kind\":"
      "\"non_idempotent\",\"timeout\":\"800ms\",\"target_latency\":\"400ms\","
      "\"priority\":2,\"attempts\":2,\"sticky\":true,\"home_regions\":[],"
      "\"traffic_split\":[{\"service\":\"search\",\"weight\":90},"
      "{\"service\":\"chart\",\"weight\":10}]}},"
      "\"services\":{\"search\":{\"health_path\":\"/health\",\"max_conns\":330"
      ",\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\""
      ":5.7},\"chart\":{\"health_path\":\"/health\"},\"spare\":{"
      "\"health_path\":\"/health\"}},"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
      "\"tenants\":{\"a\":{\"api_keys\":[\"k1\"],\"priority\":3,"
      "\"rate_per_s\":4.5,\"burst\":9,\"home_regions\":[\"north\"]}}}";

static const field_case_t config_fields[] = {
  { "", "version", "" },
  { "", "routes", "object" },
  { "", "services", "" },
  { "", "limits", "missing object members" },
  { "", "tenants", "missing object" },
  { "", "another", ALL },
  { "routes", "one", "missing" },
  { "routes/one", "host", "text digits" },
  { "routes/one", "path_prefix", "empty text digits" },
  { "routes/one", "route_kind", "" },
  { "routes/one", "timeout", "missing" },
  { "routes/one", "target_latency", "missing" },
  { "routes/one", "priority", "missing zero one" },
  { "routes/one", "attempts", "missing one" },
  { "routes/one", "sticky", "missing false true" },
  { "routes/one", "anonymous", "missing false true" },
  { "routes/one", "home_regions", "missing array" },
  { "routes/one", "service", "" },
  { "routes/one", "traffic_split", "missing" },
  { "routes/one", "another", ALL },
  { "routes/two", "service", "missing" },
  { "routes/two", "traffic_split", "" },
  { "routes/two/traffic_split/1", "service", "" },
  { "routes/two/traffic_split/1", "weight", "zero one real" },
  { "routes/two/traffic_split/1", "another", ALL },
  { "services", "spare", "missing" },
  { "services/search", "health_path", "empty text digits" },
  { "services/search", "max_conns", "missing zero one" },
  { "services/search", "protocol", "missing empty text digits" },
  { "services/search", "tls", "missing false true" },
  { "services/search", "cold_start", "missing" },
  { "services/search", "cold_per_s", "missing zero one real" },
  { "services/search", "another", ALL },
  { "limits", "max_header_bytes", "missing zero one" },
  { "limits", "max_body_bytes", "missing zero one" },
  { "limits", "header_timeout", "missing" },
  { "limits", "idle_timeout", "missing" },
  { "limits", "another", ALL },
  { "tenants", "a", "missing object members" },
  { "tenants/a", "api_keys", "missing array" },
  { "tenants/a", "priority", "missing zero one" },
  { "tenants/a", "rate_per_s", "missing zero one real" },
  { "tenants/a", "burst", "missing zero one real" },
  { "tenants/a", "home_regions", "missing array" },
  { "tenants/a", "another", ALL },
};

static const value_case_t config_values[] = {
  { "", "version", "\"1f\"" },
  { "", "version", "\"0000001g\"" },
  { "routes/one", "route_kind", "\"often\"" },
  { "routes/one", "timeout", "\"-1s\"" },
  { "routes/one", "timeout", "\"800\"" },
  { "routes/one", "timeout", "\"9999999999s\"" },
  { "routes/one", "attempts", "2.0" },
  { "routes/one", "home_regions", "[\"north\",7]" },
  { "routes/one", "home_regions", "[\"\"]" },
  { "routes/two", "service", "\"search\"" },
  { "routes/two", "traffic_split", "[{}]" },
  { "routes/two", "traffic_split", "[{\"service\":\"search\"}]" },
  { "routes/two", "traffic_split", "[[\"search\",1]]" },
  { "routes/two/traffic_split/1", "weight", "\"10\"" },
  { "routes/two", "traffic_split",
    "[{\"service\":\"search\",\"weight\":1e308},"
    "{\"service\":\"chart\",\"weight\":1e308}]" },
  { "services/search", "cold_start", "\"3\"" },
  { "services/search", "cold_per_s", "\"5.7\"" },
  { "services/search", "cold_per_s", "-0.1" },
  { "limits", "idle_timeout", "\"15\"" },
  { "tenants/a", "api_keys", "[\"\"]" },
  { "tenants/a", "rate_per_s", "-0.1" },
};

/* Whether the configuration TEXT may come in force.  If not, an error says why
   and, where the field itself is refused, names FIELD.  */
static bool
config_is_read (const char *text, const char *field)
{
  err_t err = { 0 };
  route_config_t *config = config_codec_read (text, strlen (text), &err);
  bool is_read = config && route_config_check (config, &err);
  g_assert_cmpint (err.kind == ERR_NONE, ==, is_read);
  if (!config && !strstr (err.message, field))
    {
      g_test_message ("not named: %s, but: %s", field, err.message);
      g_test_fail ();
    }
  if (!is_read)
    g_assert_cmpuint (strlen (err.remedy), >, 0);
  route_config_free (config);
  return is_read;
}

static void
test_config_fields (void)
{
  g_assert_true (config_is_read (whole_config, ""));
  for (size_t i = 0; i < G_N_ELEMENTS (config_fields); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (variants); j++)
      {
        const field_case_t *row = &config_fields[i];
        char *text = text_with (whole_config, row->path, row->field,
                                variants[j].json);
        if (config_is_read (text, row->field)
            != is_accepted (row, variants[j].name))
          {
            g_test_message ("%s/%s %s", row->path, row->field,
                            variants[j].name);
            g_test_fail ();
          }
        free (text);
      }
}

static void
test_config_values (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (config_values); i++)
    {
      const value_case_t *row = &config_values[i];
      char *text = text_with (whole_config, row->path, row->field, row->json);
      if (config_is_read (text, ""))
        {
          g_test_message ("%s/%s: %s", row->path, row->field, row->json);
          g_test_fail ();
        }
      free (text);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/fields/entry", test_entry_fields);
  g_test_add_func ("/platform/fields/entry-values", test_entry_values);
  g_test_add_func ("/platform/fields/entry-of-another-writer",
                   test_entry_of_another_writer);
  g_test_add_func ("/platform/fields/config", test_config_fields);
  g_test_add_func ("/platform/fields/config-values", test_config_values);
  return g_test_run ();
}
