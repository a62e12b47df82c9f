/* Which route a request takes.  */

#include <glib.h>
#include <string.h>

#include "routing/route_config.h"

static route_t
route_of (const char *name, const char *host, const char *prefix)
{
  route_t route = { .attempts = 1 };
  g_strlcpy (route.name.text, name, sizeof route.name.text);
  g_strlcpy (route.host, host, sizeof route.host);
  g_strlcpy (route.prefix, prefix, sizeof route.prefix);
  return route;
}

static const char *
match (const route_config_t *config, const char *host, const char *target)
{
  const route_t *route = route_config_match (config, host, target);
  return route ? route->name.text : "";
}

static void
test_longest_prefix (void)
{
  route_t routes[] = { route_of ("short", "a.example", "/x/"),
                       route_of ("long", "a.example", "/x/y/"),
                       route_of ("root", "a.example", "/"),
                       route_of ("other", "b.example", "/x/y/z/") };
  const route_config_t config = { .n_routes = 4, .routes = routes };
  g_assert_cmpstr (match (&config, "a.example", "/x/y/z/1"), ==, "long");
  g_assert_cmpstr (match (&config, "a.example", "/x/1"), ==, "short");
  g_assert_cmpstr (match (&config, "a.example", "/q"), ==, "root");
  g_assert_cmpstr (match (&config, "b.example", "/x/y/z/1"), ==, "other");
  g_assert_cmpstr (match (&config, "b.example", "/x/"), ==, "");
  g_assert_cmpstr (match (&config, "c.example", "/x/"), ==, "");
}

static void
test_host_and_query (void)
{
  route_t routes[] = { route_of ("r", "a.example", "/x/") };
  const route_config_t config = { .n_routes = 1, .routes = routes };
  g_assert_cmpstr (match (&config, "A.Example:8080", "/x/?q=1"), ==, "r");
  g_assert_cmpstr (match (&config, "a.example.org", "/x/"), ==, "");
  g_assert_cmpstr (match (&config, "a.example", "/?/x/"), ==, "");
  g_assert_cmpstr (match (&config, "a.example", "/x"), ==, "");
}

static void
test_homes (void)
{
  route_t route = route_of ("r", "a.example", "/x/");
  g_assert_true (route_allows_region (&route, "north"));
  name_t homes[] = { { "north" }, { "east" } };
  route.homes = homes;
  route.n_homes = 2;
  g_assert_true (route_allows_region (&route, "east"));
  g_assert_false (route_allows_region (&route, "south"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/routing/longest", test_longest_prefix);
  g_test_add_func ("/routing/host", test_host_and_query);
  g_test_add_func ("/routing/homes", test_homes);
  return g_test_run ();
}
