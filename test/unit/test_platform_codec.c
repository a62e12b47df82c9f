/* Parsers and writers of the platform's formats: valid, truncated and invalid
   configurations and lists of backend servers.  */

#include <glib.h>
#include <string.h>

#include "backend_list_codec.h"
#include "config_codec.h"
#include "fleet/backend_list.h"
#include "lookup_codec.h"
#include "routing/account.h"
#include "routing/route_config.h"

#define SERVICES                                                              \
  "\"services\":{\"search\":{\"health_path\":\"/health\",\"max_conns\":330,"  \
  "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":"   \
  "5.2},\"chart\":{\"health_path\":\"/h\",\"max_conns\":10}}"

#define LIMITS                                                                \
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000,"           \
  "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15s\"}"

#define ROUTE(kind, target, attempts)                                         \
  "\"routes\":{\"r-1\":{\"host\":\"a.example\",\"path_prefix\":\"/x/\","      \
  "\"route_kind\":\"" kind "\",\"timeout\":\"800ms\",\"target_latency\":"     \
  "\"0.25s\",\"priority\":2," target ",\"attempts\":" attempts                \
  ",\"sticky\":true,\"home_regions\":[\"north\"]}}"

#define CONFIG(route)                                                         \
  "{\"version\":\"0000001f\"," route "," SERVICES "," LIMITS "}"

static route_config_t *
read_config (const char *text)
{
  return config_codec_read (text, strlen (text), NULL);
}

static void
test_config_is_read (void)
{
  route_config_t *config = read_config (
      CONFIG (ROUTE ("idempotent",
                     "\"traffic_split\":[{\"service\":\"search\",\"weight\":"
                     "90},{\"service\":\"chart\",\"weight\":10}]",
                     "2")));
  g_assert_nonnull (config);
  g_assert_cmpuint (config->version, ==, 31);
  g_assert_cmpuint (config->n_routes, ==, 1);
  const route_t *route = &config->routes[0];
  g_assert_cmpstr (route->host, ==, "a.example");
  g_assert_cmpstr (route->path_prefix, ==, "/x/");
  g_assert_true (route->is_idempotent);
  g_assert_true (route->has_affinity);
  g_assert_cmpint (route->timeout, ==, 800 * USEC_PER_MSEC);
  g_assert_cmpint (route->latency_objective, ==, 250 * USEC_PER_MSEC);
  g_assert_cmpuint (route->priority, ==, 2);
  g_assert_cmpuint (route->max_attempts, ==, 2);
  g_assert_cmpuint (route->n_shares, ==, 2);
  g_assert_cmpfloat (route->shares[1].weight, ==, 10);
  g_assert_cmpuint (route->n_home_regions, ==, 1);
  const service_config_t *service = route_config_service (config, "search");
  g_assert_cmpint (service->cold_start_duration, ==, 3 * USEC_PER_SEC);
  g_assert_cmpint (config->limits.idle_timeout, ==, 15 * USEC_PER_SEC);
  g_assert_true (route_config_check (config, NULL));
  route_config_free (config);
}

static void
test_config_cut_short (void)
{
  const char *whole
      = CONFIG (ROUTE ("non_idempotent", "\"service\":\"search\"", "1"));
  for (size_t n = 0; n < strlen (whole); n++)
    g_assert_null (config_codec_read (whole, n, NULL));
  route_config_t *config = read_config (whole);
  g_assert_nonnull (config);
  g_assert_false (config->routes[0].is_idempotent);
  route_config_free (config);
}

/* TEXT must fail to parse, or fail the check of the configuration.  */
static void
assert_rejected (const char *text)
{
  err_t err = { 0 };
  route_config_t *config = config_codec_read (text, strlen (text), &err);
  if (config)
    g_assert_false (route_config_check (config, &err));
  g_assert_cmpint (err.kind, !=, ERR_NONE);
  g_assert_cmpuint (strlen (err.remedy), >, 0);
  route_config_free (config);
}

static void
test_config_refused (void)
{
  assert_rejected (CONFIG (ROUTE ("often", "\"service\":\"search\"", "1")));
  assert_rejected (CONFIG (ROUTE ("idempotent", "\"service\":\"none\"", "1")));
  assert_rejected (
      CONFIG (ROUTE ("idempotent", "\"service\":\"search\"", "0")));
  assert_rejected (CONFIG (ROUTE (
      "idempotent",
      "\"traffic_split\":[{\"service\":\"search\",\"weight\":-1}]", "1")));
  assert_rejected (CONFIG (
      "\"routes\":{\"r\":{\"host\":\"\",\"path_prefix\":\"/\",\"route_kind\":"
      "\"idempotent\",\"service\":\"search\",\"attempts\":1}}"));
  assert_rejected ("{\"version\":\"xyz\",\"routes\":{}," SERVICES "}");
  assert_rejected ("{\"version\":\"01\"," SERVICES "}");
  assert_rejected ("{\"version\":\"01\",\"routes\":{}}");
  assert_rejected ("[]");
  assert_rejected ("");
}

#define ACCOUNTS(table)                                                       \
  "{\"version\":\"00000001\",\"routes\":{}," SERVICES ",\"tenants\":" table "}"

static void
test_accounts (void)
{
  route_config_t *config = read_config (ACCOUNTS (
      "{\"a\":{\"api_keys\":[\"k1\",\"k2\"],\"priority\":3,\"rate_per_s\":"
      "4.5,\"burst\":9,\"home_regions\":[\"north\"]},\"b\":{}}"));
  g_assert_nonnull (config);
  g_assert_true (route_config_check (config, NULL));
  g_assert_true (config->has_accounts);
  g_assert_cmpuint (config->n_accounts, ==, 2);
  const client_account_t *account = account_by_key (config, "k2");
  g_assert_nonnull (account);
  g_assert_cmpstr (account->name.text, ==, "a");
  g_assert_true (account->has_priority);
  g_assert_cmpuint (account->priority, ==, 3);
  g_assert_cmpfloat (account->rate, ==, 4.5);
  g_assert_cmpfloat (account->burst, ==, 9);
  g_assert_true (account_allows_region (account, "north"));
  g_assert_false (account_allows_region (account, "east"));
  g_assert_false (config->accounts[1].has_priority);
  g_assert_cmpfloat (config->accounts[1].rate, ==, 0);
  route_config_free (config);
  config = read_config (ACCOUNTS ("{}"));
  g_assert_false (config->has_accounts);
  route_config_free (config);
}

#define SHARED_KEY                                                            \
  "{\"a\":{\"api_keys\":[\"secret\"]},\"b\":{\"api_keys\":[\"secret\"]}}"

/* Guards against faults that pass, and against an error that tells a key.  */
static void
test_accounts_refused (void)
{
  static const char *const tables[]
      = { "[]",
          "{\"a\":[]}",
          "{\"a b\":{}}",
          "{\"a\":{\"api_keys\":\"secret\"}}",
          "{\"a\":{\"api_keys\":[\"secret\",7]}}",
          "{\"a\":{\"api_keys\":[\"\"]}}",
          "{\"a\":{\"api_keys\":[\"secret\"],\"rate_per_s\":\"1\"}}",
          "{\"a\":{\"api_keys\":[\"secret\"],\"rate_per_s\":-1}}",
          "{\"a\":{\"api_keys\":[\"secret\"],\"burst\":-1}}",
          "{\"a\":{\"api_keys\":[\"secret\"],\"priority\":-1}}",
          "{\"a\":{\"api_keys\":[\"secret\"],\"home_regions\":[7]}}",
          SHARED_KEY,
          "{\"a\":{\"api_keys\":[\"secret" };
  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    {
      char *text = g_strconcat (
          "{\"version\":\"00000001\",\"routes\":{}," SERVICES ",\"tenants\":",
          tables[i], "}", NULL);
      err_t err = { 0 };
      route_config_t *config = config_codec_read (text, strlen (text), &err);
      if (config)
        g_assert_false (route_config_check (config, &err));
      g_assert_cmpint (err.kind, !=, ERR_NONE);
      g_assert_cmpuint (strlen (err.remedy), >, 0);
      g_assert_null (strstr (err.message, "secret"));
      route_config_free (config);
      g_free (text);
    }
}

/* Guards against a version that another reading makes huge, such as
   "-0000001": it would be in force for good and hide every later one.  */
static void
test_config_version (void)
{
  static const char *const invalid[]
      = { "-0000001",  "+0000001",         " 0000001",  "0x000001",
          "0000001",   "000000001",        "0000001 ",  "0000000g",
          "",          "ffffffffffffffff", "1e000001.", "\\u0030001",
          "0000001\\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"version\":\"%s\",\"routes\":{}," SERVICES "}", invalid[i]);
      assert_rejected (text);
    }
  assert_rejected ("{\"version\":7,\"routes\":{}," SERVICES "}");
  route_config_t *config
      = read_config ("{\"version\":\"fFfffffe\",\"routes\":{}," SERVICES "}");
  g_assert_nonnull (config);
  g_assert_cmpuint (config->version, ==, 0xfffffffe);
  route_config_free (config);
}

#define ENTRY(id, address, state, more)                                       \
  "{\"service\":\"search\",\"address\":\"" address                            \
  "\",\"version\":\"v1\",\"capacity\":3,\"state\":\"" state                   \
  "\",\"cold_left\":\"1.5s\",\"id\":\"" id "\"" more "}"

static bool
read_list (const char *text, backend_list_t *list, list_page_t *page)
{
  return backend_list_codec_read (text, strlen (text), list, page, NULL);
}

static void
test_list_is_read (void)
{
  backend_list_t list = { 0 };
  list_page_t page;
  g_assert_true (read_list (
      "{\"instances\":{\"north-a\":[" ENTRY (
          "i-1", "10.0.0.9:8080", "ready",
          ",\"born\":1700") "," ENTRY ("i-2", "10.0.0.8:8080", "draining",
                                       "") "]},\"next_token\":\"p-2\"}",
      &list, &page));
  g_assert_cmpstr (page.next_token, ==, "p-2");
  g_assert_cmpuint (page.n_skipped, ==, 0);
  g_assert_cmpuint (list.n_records, ==, 2);
  g_assert_cmpstr (list.records[0].id, ==, "i-1");
  g_assert_cmpstr (list.records[0].domain.text, ==, "north-a");
  g_assert_cmpuint (list.records[0].address.port, ==, 8080);
  g_assert_cmpint (list.records[0].cold_left, ==, 1500 * USEC_PER_MSEC);
  g_assert_cmpint (list.records[0].started_unix_ms, ==, 1700);
  g_assert_true (list.records[1].is_draining);
  backend_list_clear (&list);
}

/* Entries that are no backend servers, as other programs may write them into
   the list, are skipped and counted; the valid ones are kept.  */
static void
test_list_with_foreign_entries (void)
{
  backend_list_t list = { 0 };
  list_page_t page;
  g_assert_true (read_list (
      "{\"instances\":{\"north-a\":[7,null,{},\"x\"," ENTRY (
          "i-1", "10.0.0.9", "ready",
          "") "," ENTRY ("i-2", "10.0.0.8:80", "asleep",
                         "") "," ENTRY ("", "10.0.0.8:80", "ready",
                                        "") "," ENTRY ("i-3", "10.0.0.7:80",
                                                       "ready", "") "],"
                                                                    "\"b\":9},"
                                                                    "\"next_"
                                                                    "token\":"
                                                                    "null}",
      &list, &page));
  g_assert_cmpuint (list.n_records, ==, 1);
  g_assert_cmpstr (list.records[0].id, ==, "i-3");
  g_assert_cmpuint (page.n_skipped, ==, 7);
  g_assert_cmpstr (page.next_token, ==, "");
  backend_list_clear (&list);
}

/* ODD stands between, before and after the entries i-1 to i-3 of a page; these
   must be read.  */
static void
assert_others_hold (const char *odd, size_t odd_bytes)
{
  g_autoptr (GString) page = g_string_new ("{\"instances\":{\"north-a\":[");
  backend_list_t list = { 0 };
  list_page_t told;
  g_string_append (page, ENTRY ("i-1", "10.0.0.1:80", "ready", "") ",");
  g_string_append_len (page, odd, (gssize)odd_bytes);
  g_string_append (page, "," ENTRY ("i-2", "10.0.0.2:80", "draining", ""));
  g_string_append (page, "],\"north-b\":[");
  g_string_append_len (page, odd, (gssize)odd_bytes);
  g_string_append (page, "," ENTRY ("i-3", "10.0.0.3:80", "ready", "") ",");
  g_string_append_len (page, odd, (gssize)odd_bytes);
  g_string_append (page, "]},\"next_token\":\"p\"}");
  g_assert_true (
      backend_list_codec_read (page->str, page->len, &list, &told, NULL));
  g_assert_cmpuint (list.n_records, ==, 3);
  g_assert_cmpuint (told.n_skipped, ==, 3);
  g_assert_cmpstr (list.records[2].id, ==, "i-3");
  g_assert_true (list.records[1].is_draining);
  g_assert_cmpstr (told.next_token, ==, "p");
  backend_list_clear (&list);
}

#define ODD(text) assert_others_hold (text, sizeof text - 1)

/* Guards against one entry of another writer that stops the whole list: the
   others would be used although they drain, or not at all.  */
static void
test_list_with_unreadable_entries (void)
{
  ODD ("{\"service\":\"\377\376\",\"id\":\"x-1\"}");
  ODD ("{\"service\":\"\\ud800\"}");
  ODD ("{\"service\":\"\\u0000\"}");
  ODD ("{\"service\":\"a\0b\"}");
  ODD ("{\"service\":\"\\x\\\"}],\"}");
  ODD ("{\"capacity\":1e999}");
  ODD ("{\"capacity\":12345678901234567890123456}");
  ODD ("{\"capacity\":}");
  ODD ("{\"a\":1,\"a\" 2 , , }");
  ODD ("nul");
  ODD ("-");
  ODD ("{\"service\":\"search\",\"address\":\"10.0.0.9:8080\",\"capacity\":"
       "99999999,\"state\":\"ready\",\"id\":\"i-9\"}");
  ODD (ENTRY ("i-9", "10.0.0.9:99999", "ready", ""));
  ODD (ENTRY ("i-9", "10.0.0.9: 80", "ready", ""));
  ODD (ENTRY ("i-9", "10.0.0.9:-1", "ready", ""));
  ODD (ENTRY ("i-9\\r\\nEvil: 1", "10.0.0.9:80", "ready", ""));
  ODD (ENTRY ("i-9", "10.0.0.9:80", "ready", ",\"born\":1e400"));
  ODD (ENTRY ("i-9", "10.0.0.9:80", "ready", ",\"born\":17.5"));
  for (size_t depth = 10; depth <= 200000; depth *= 20)
    {
      g_autoptr (GString) nested = g_string_new ("{\"id\":");
      g_autofree char *opened = g_strnfill (depth, '[');
      g_autofree char *closed = g_strnfill (depth, ']');
      g_string_append_printf (nested, "%s%s}", opened, closed);
      assert_others_hold (nested->str, nested->len);
    }
}

/* Guards against a list cut short that counts as whole: backend servers would
   seem to be gone.  */
static void
test_list_cut_short (void)
{
  const char *whole = "{\"instances\":{\"north-a\":[" ENTRY (
      "i-1", "10.0.0.1:80", "ready",
      "") "],\"north-b\":[]},\"next_token\":null}";
  for (size_t n = 0; n < strlen (whole); n++)
    {
      backend_list_t list = { 0 };
      list_page_t page;
      g_assert_false (backend_list_codec_read (whole, n, &list, &page, NULL));
      backend_list_clear (&list);
    }
}

/* Guards against a second writer's table of the same failure domain that hides
   the first one.  */
static void
test_list_with_domain_twice (void)
{
  backend_list_t list = { 0 };
  list_page_t page;
  g_assert_true (read_list (
      "{\"instances\":{\"north-a\":[" ENTRY (
          "i-1", "10.0.0.1:80", "ready",
          "") "],\"north-a\":7,\"north-a\":[],\"\\ud800\":[7],\"\377\":{}}}",
      &list, &page));
  g_assert_cmpuint (list.n_records, ==, 1);
  g_assert_cmpuint (page.n_skipped, ==, 1);
  backend_list_clear (&list);
}

/* Guards against a list that counts as whole although its next page can't be
   asked for.  */
static void
test_list_token_too_long (void)
{
  backend_list_t list = { 0 };
  list_page_t page;
  g_autofree char *token = g_strnfill (LIST_TOKEN_BYTES, 'p');
  g_autofree char *text
      = g_strdup_printf ("{\"instances\":{},\"next_token\":\"%s\"}", token);
  g_assert_false (read_list (text, &list, &page));
  g_assert_false (
      read_list ("{\"instances\":{},\"next_token\":7}", &list, &page));
  backend_list_clear (&list);
}

static void
test_list_refused (void)
{
  backend_list_t list = { 0 };
  list_page_t page;
  g_assert_false (read_list ("", &list, &page));
  g_assert_false (read_list ("{}", &list, &page));
  g_assert_false (read_list ("{\"instances\":[", &list, &page));
  g_assert_cmpuint (list.n_records, ==, 0);
}

static void
test_lookup_is_written (void)
{
  const inet_t addresses[] = { { 0x0a000001, 80 }, { 0x0a000002, 81 } };
  char text[LOOKUP_TEXT_BYTES];
  int n = lookup_codec_write (addresses, 2, 2 * USEC_PER_SEC, text);
  g_assert_cmpstr (text, ==,
                   "{\"addresses\":[\"10.0.0.1:80\",\"10.0.0.2:81\"],"
                   "\"ttl\":\"2000ms\"}");
  g_assert_cmpint (n, ==, strlen (text));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/accounts", test_accounts);
  g_test_add_func ("/platform/accounts-refused", test_accounts_refused);
  g_test_add_func ("/platform/config", test_config_is_read);
  g_test_add_func ("/platform/config-cut", test_config_cut_short);
  g_test_add_func ("/platform/config-refused", test_config_refused);
  g_test_add_func ("/platform/config-version", test_config_version);
  g_test_add_func ("/platform/list", test_list_is_read);
  g_test_add_func ("/platform/list-foreign", test_list_with_foreign_entries);
  g_test_add_func ("/platform/list-unreadable",
                   test_list_with_unreadable_entries);
  g_test_add_func ("/platform/list-cut", test_list_cut_short);
  g_test_add_func ("/platform/list-domain-twice", test_list_with_domain_twice);
  g_test_add_func ("/platform/list-token", test_list_token_too_long);
  g_test_add_func ("/platform/list-refused", test_list_refused);
  g_test_add_func ("/platform/lookup", test_lookup_is_written);
  return g_test_run ();
}
