/* mulberryctl fleet show: what one director knows.  */

#include <stdio.h>
#include <stdlib.h>

#include "base/inet.h"
#include "ctl/commands.h"
#include "ctl/download.h"

enum
{
  STATUS_GOOD = 200,
};

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "-";
}

static json_int_t
number_of (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static const char *
yes_no (const json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key)) ? "yes" : "no";
}

static void
print_members (const json_t *view)
{
  size_t i;
  json_t *row;
  printf ("%-6s %-18s %-6s %s\n", "SLOT", "DIRECTOR", "LEADS", "HEARD MS AGO");
  json_array_foreach (json_object_get (view, "directors"), i, row)
      printf ("%-6lld %-18s %-6s %lld\n", (long long)number_of (row, "slot"),
              text_of (row, "address"), yes_no (row, "leads"),
              (long long)number_of (row, "heard_ms_ago"));
  printf ("\n%-20s %-16s %-24s %-6s %s\n", "ROUTER", "FAILURE DOMAIN",
          "REQUESTS", "TAKES", "HEARD MS AGO");
  json_array_foreach (json_object_get (view, "routers"), i, row)
      printf ("%-20s %-16s %-24s %-6s %lld\n", text_of (row, "vm"),
              text_of (row, "failure_domain"), text_of (row, "requests"),
              yes_no (row, "takes_requests"),
              (long long)number_of (row, "heard_ms_ago"));
}

static void
print_routes (const json_t *view)
{
  size_t i;
  json_t *row;
  printf ("\n%-16s %-24s %-24s %-10s %-11s %s\n", "ROUTE", "HOST", "PREFIX",
          "IDEMPOTENT", "TIMEOUT MS", "SERVICES");
  json_array_foreach (json_object_get (view, "routes"), i, row)
  {
    size_t j;
    json_t *share;
    printf ("%-16s %-24s %-24s %-10s %-11lld", text_of (row, "name"),
            text_of (row, "host"), text_of (row, "prefix"),
            yes_no (row, "idempotent"),
            (long long)number_of (row, "timeout_ms"));
    json_array_foreach (json_object_get (row, "shares"), j, share)
        printf (" %s:%g", text_of (share, "service"),
                json_real_value (json_object_get (share, "weight")));
    printf ("\n");
  }
}

static void
print_backends (const json_t *view)
{
  size_t i;
  json_t *row;
  printf ("\n%-24s %-16s %-16s %-24s %-9s %s\n", "BACKEND SERVER", "SERVICE",
          "FAILURE DOMAIN", "ADDRESS", "STATE", "SLOTS");
  json_array_foreach (json_object_get (view, "backends"), i, row)
      printf ("%-24s %-16s %-16s %-24s %-9s %lld\n", text_of (row, "id"),
              text_of (row, "service"), text_of (row, "failure_domain"),
              text_of (row, "address"), text_of (row, "state"),
              (long long)number_of (row, "slots"));
}

static void
print_view (const json_t *view)
{
  printf ("%s: %s, configuration %lld, known to be the newest %lld ms ago; "
          "list of backend servers %lld ms old\n",
          text_of (view, "vm"), text_of (view, "role"),
          (long long)number_of (view, "version"),
          (long long)number_of (view, "newest_ms_ago"),
          (long long)number_of (view, "list_ms_ago"));
  size_t i;
  json_t *domain;
  json_array_foreach (json_object_get (view, "evacuated"), i, domain)
      printf ("evacuated: %s\n", json_string_value (domain));
  printf ("\n");
  print_members (view);
  print_routes (view);
  print_backends (view);
}

exit_code_t
command_fleet_show (session_t *session)
{
  const options_t *options = session->options;
  err_t err = { 0 };
  inet_t at;
  if (!inet_parse (&at, options->argument))
    {
      err_set (&err, ERR_USAGE,
               "write a director's ADDRESS:PORT for operators",
               "'%s' is no address with a port", options->argument);
      return session_fail (session, &err);
    }
  char address[INET_TEXT_BYTES];
  inet_format_address (at.address, address);
  page_t page = { .address = address, .port = at.port, .path = "/v1/fleet" };
  pages_fetch (&page, 1);
  json_t *view = page.status == STATUS_GOOD && page.body.text
                     ? json_loads (page.body.text, 0, NULL)
                     : NULL;
  exit_code_t code = EXIT_GOOD;
  if (!view)
    {
      err_set (&err, ERR_UNAVAILABLE, "ask another director",
               "%s did not tell what it knows (status %u)", options->argument,
               page.status);
      code = session_fail (session, &err);
    }
  else if (options->output == OUTPUT_JSON)
    session_print_json (view);
  else
    print_view (view);
  json_decref (view);
  pages_free (&page, 1);
  return code;
}
