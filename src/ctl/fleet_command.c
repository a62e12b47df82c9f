/* mulberryctl fleet show: print the replicated state that one director holds;
   fleet release: end a quarantine.  */

#include <stdio.h>
#include <stdlib.h>

#include "base/inet.h"
#include "ctl/commands.h"
#include "ctl/download.h"
#include "fleet/crash_table.h"

enum
{
  HTTP_STATUS_OK = 200,
  HTTP_STATUS_NOT_FOUND = 404,
  PATH_BYTES = 64,
};

static const char *
string_field (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "-";
}

static json_int_t
integer_field (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static const char *
yes_or_no_field (const json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key)) ? "yes" : "no";
}

static void
print_members (const json_t *view)
{
  size_t i;
  json_t *row;
  printf ("%-6s %-18s %-6s %-6s %s\n", "SLOT", "DIRECTOR", "LEADS", "FORM",
          "HEARD MS AGO");
  json_array_foreach (json_object_get (view, "directors"), i, row) printf (
      "%-6lld %-18s %-6s %-6s %lld\n", (long long)integer_field (row, "slot"),
      string_field (row, "address"), yes_or_no_field (row, "leads"),
      string_field (row, "form"),
      (long long)integer_field (row, "heard_ms_ago"));
  printf ("\n%-20s %-16s %-24s %-6s %-8s %-6s %s\n", "ROUTER",
          "FAILURE DOMAIN", "REQUESTS", "TAKES", "CUT OFF", "FORM",
          "HEARD MS AGO");
  json_array_foreach (json_object_get (view, "routers"), i, row) printf (
      "%-20s %-16s %-24s %-6s %-8s %-6s %lld\n", string_field (row, "vm"),
      string_field (row, "failure_domain"), string_field (row, "requests"),
      yes_or_no_field (row, "takes_requests"),
      yes_or_no_field (row, "cut_off"), string_field (row, "form"),
      (long long)integer_field (row, "heard_ms_ago"));
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
    printf ("%-16s %-24s %-24s %-10s %-11lld", string_field (row, "name"),
            string_field (row, "host"), string_field (row, "prefix"),
            yes_or_no_field (row, "idempotent"),
            (long long)integer_field (row, "timeout_ms"));
    json_array_foreach (json_object_get (row, "shares"), j, share)
        printf (" %s:%g", string_field (share, "service"),
                json_real_value (json_object_get (share, "weight")));
    printf ("\n");
  }
}

/* What the backend server of ROW has said of itself to routers.  */
static void
print_notices (const json_t *row)
{
  const json_t *leaving = json_object_get (row, "leaving");
  const json_t *rest = json_object_get (row, "rest");
  if (json_is_object (leaving))
    printf (" leaves, told %lld router(s), %lld ms ago",
            (long long)integer_field (leaving, "routers"),
            (long long)integer_field (leaving, "said_ms_ago"));
  if (json_is_object (rest))
    printf (" rests %lld ms more, told %lld router(s), %lld ms ago",
            (long long)integer_field (rest, "left_ms"),
            (long long)integer_field (rest, "routers"),
            (long long)integer_field (rest, "said_ms_ago"));
  if (!json_is_object (leaving) && !json_is_object (rest))
    printf (" -");
}

static void
print_backends (const json_t *view)
{
  size_t i;
  json_t *row;
  printf ("\n%-24s %-16s %-16s %-24s %-9s %-6s %s\n", "BACKEND SERVER",
          "SERVICE", "FAILURE DOMAIN", "ADDRESS", "STATE", "SLOTS",
          "SAID TO ROUTERS");
  json_array_foreach (json_object_get (view, "backends"), i, row)
  {
    printf ("%-24s %-16s %-16s %-24s %-9s %-6lld", string_field (row, "id"),
            string_field (row, "service"),
            string_field (row, "failure_domain"),
            string_field (row, "address"), string_field (row, "state"),
            (long long)integer_field (row, "slots"));
    print_notices (row);
    printf ("\n");
  }
}

static void
print_view (const json_t *view)
{
  printf ("%s: %s, configuration %lld, known to be the newest %lld ms ago; "
          "list of backend servers %lld ms old\n",
          string_field (view, "vm"), string_field (view, "role"),
          (long long)integer_field (view, "version"),
          (long long)integer_field (view, "newest_ms_ago"),
          (long long)integer_field (view, "list_ms_ago"));
  size_t i;
  json_t *domain;
  json_array_foreach (json_object_get (view, "evacuated"), i, domain)
      printf ("evacuated: %s\n", json_string_value (domain));
  json_t *request;
  json_array_foreach (json_object_get (view, "quarantined"), i, request)
      printf ("quarantined: requests %s, after %lld crashes, the last one "
              "%lld ms ago\n",
              string_field (request, "fingerprint"),
              (long long)integer_field (request, "crashes"),
              (long long)integer_field (request, "last_crash_ms_ago"));
  printf ("\n");
  print_members (view);
  print_routes (view);
  print_backends (view);
}

static bool
parse_director (inet_t *at, const char *text, err_t *err)
{
  return (text && inet_parse (at, text))
         || err_set (err, ERR_USAGE,
                     "give the ADDRESS:PORT of a director for operators",
                     "'%s' is not an IPv4 address with a port",
                     text ? text : "");
}

exit_code_t
command_fleet_release (session_t *session)
{
  const options_t *options = session->options;
  err_t err = { 0 };
  inet_t at = { 0 };
  fingerprint_t fingerprint;
  if (!parse_director (&at, options->director, &err))
    return session_report_error (session, &err);
  if (!fingerprint_parse (&fingerprint, options->argument))
    {
      err_set (&err, ERR_USAGE, "copy it from `mulberryctl fleet show`",
               "'%s' is not a fingerprint of 32 hexadecimal digits",
               options->argument);
      return session_report_error (session, &err);
    }
  char address[INET_TEXT_BYTES];
  char path[PATH_BYTES];
  inet_format_address (at.address, address);
  snprintf (path, sizeof path, "/v1/fleet/release/%s", options->argument);
  page_t page
      = { .address = address, .port = at.port, .path = path, .is_post = true };
  pages_fetch (&page, 1);
  pages_free (&page, 1);
  if (page.status == HTTP_STATUS_OK)
    {
      printf ("released: requests %s\n", options->argument);
      return EXIT_OK;
    }
  bool is_unknown = page.status == HTTP_STATUS_NOT_FOUND;
  err_set (&err, is_unknown ? ERR_STALE : ERR_UNAVAILABLE,
           is_unknown ? "`mulberryctl fleet show` lists the quarantined ones"
                      : "ask another director",
           is_unknown ? "%s knows of no such quarantine (HTTP status %u)"
                      : "%s did not answer (HTTP status %u)",
           options->director, page.status);
  exit_code_t code = session_report_error (session, &err);
  return is_unknown ? EXIT_REFUSED : code;
}

exit_code_t
command_fleet_show (session_t *session)
{
  const options_t *options = session->options;
  err_t err = { 0 };
  inet_t at = { 0 };
  if (!parse_director (&at, options->argument, &err))
    return session_report_error (session, &err);
  char address[INET_TEXT_BYTES];
  inet_format_address (at.address, address);
  page_t page = { .address = address, .port = at.port, .path = "/v1/fleet" };
  pages_fetch (&page, 1);
  json_t *view = page.status == HTTP_STATUS_OK && page.body.text.bytes
                     ? json_loads (page.body.text.bytes, 0, NULL)
                     : NULL;
  exit_code_t code = EXIT_OK;
  if (!view)
    {
      err_set (&err, ERR_UNAVAILABLE, "ask another director",
               "%s did not return its state (HTTP status %u)",
               options->argument, page.status);
      code = session_report_error (session, &err);
    }
  else if (options->output == OUTPUT_JSON)
    session_print_json (view);
  else
    print_view (view);
  json_decref (view);
  pages_free (&page, 1);
  return code;
}
