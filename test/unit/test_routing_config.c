/* Selection of the route and of its service.  Guards against requests that
   take the route of another host, or of a shorter path prefix, or that leave
   the route's home regions, and against traffic splits that deviate from
   their weights.  */

#include <glib.h>
#include <string.h>

#include "routing/route_config.h"
#include "routing/route_split.h"

static route_t
route_of (const char *name, const char *host, const char *prefix)
{
  route_t route = { .max_attempts = 1 };
  g_strlcpy (route.name.text, name, sizeof route.name.text);
  g_strlcpy (route.host, host, sizeof route.host);
  g_strlcpy (route.path_prefix, prefix, sizeof route.path_prefix);
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
test_home_regions (void)
{
  route_t route = route_of ("r", "a.example", "/x/");
  g_assert_true (route_allows_region (&route, "north"));
  name_t home_regions[] = { { "north" }, { "east" } };
  route.home_region_names = home_regions;
  route.n_home_regions = 2;
  g_assert_true (route_allows_region (&route, "east"));
  g_assert_false (route_allows_region (&route, "south"));
}

/* After each request, the count of each service differs by at most one from
   its part by weight.  */
static void
test_split_follows_weights (void)
{
  route_share_t shares[] = { { { "a" }, 90 }, { { "b" }, 9 }, { { "c" }, 1 } };
  route_t routes[] = { route_of ("other", "b.example", "/"),
                       route_of ("r", "a.example", "/") };
  routes[1].n_shares = G_N_ELEMENTS (shares);
  routes[1].shares = shares;
  const route_config_t config = { .n_routes = 2, .routes = routes };
  route_split_t *split = route_split_new (&config);
  int n[3] = { 0 };
  for (int i = 1; i <= 1000; i++)
    {
      n[route_split_next (split, &routes[1])]++;
      for (int share = 0; share < 3; share++)
        g_assert_cmpfloat (ABS (n[share] - i * shares[share].weight / 100), <=,
                           1);
    }
  route_split_free (split);
  route_split_free (route_split_new (NULL));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/routing/longest-prefix", test_longest_prefix);
  g_test_add_func ("/routing/host-and-query", test_host_and_query);
  g_test_add_func ("/routing/home-regions", test_home_regions);
  g_test_add_func ("/routing/split", test_split_follows_weights);
  return g_test_run ();
}
