/* Tests of request traces.  They guard against log lines of two routers that
   are printed out of order, and lines of another request (an id with the same
   prefix, or the id in another field) that are taken into the trace.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ctl/request_trace.h"

#define LINE(time, vm, rest)                                                  \
  "time=2026-01-09T22:51:" time "Z level=info program=mulberry-router vm=" vm \
  " event=" rest "\n"

static char *
trace_text (request_trace_t *trace)
{
  char *text = NULL;
  size_t size = 0;
  FILE *file = open_memstream (&text, &size);
  request_trace_print (trace, file);
  fclose (file);
  return text;
}

static void
test_order (void)
{
  request_trace_t *trace = request_trace_new ("ab1");
  g_assert_true (request_trace_add (
      trace, LINE ("03.500000", "r-2",
                   "request_ended id=ab1 outcome=refused status=503")));
  g_assert_true (request_trace_add (
      trace, LINE ("03.250000", "r-1", "request_sent id=ab1 backend=i-9")));
  g_assert_false (request_trace_add (
      trace, LINE ("03.300000", "r-1", "request_sent id=ab12 backend=i-8")));
  g_assert_false (request_trace_add (
      trace, LINE ("03.300000", "r-1", "backend_seen backend=ab1")));
  g_assert_false (request_trace_add (trace, "id=ab1 no time\n"));
  g_assert_false (request_trace_add (trace, ""));
  g_assert_cmpuint (request_trace_count (trace), ==, 2);
  char *text = trace_text (trace);
  char **lines = g_strsplit (text, "\n", -1);
  g_assert_nonnull (strstr (lines[0], "+0.000000  r-1"));
  g_assert_nonnull (strstr (lines[0], "backend=i-9"));
  g_assert_nonnull (strstr (lines[1], "+0.250000  r-2"));
  g_assert_nonnull (strstr (request_trace_outcome (trace), "did not run"));
  g_strfreev (lines);
  free (text);
  request_trace_free (trace);
}

/* Guards against an outcome of a router that has no text.  */
static void
test_refusals_have_texts (void)
{
  static const char *const ends[]
      = { LINE ("03.5", "r-1", "request_ended id=ab1 outcome=quarantined"),
          LINE ("03.5", "r-1", "request_ended id=ab1 outcome=held_back"),
          LINE ("03.5", "r-1", "request_ended id=ab1 outcome=resting") };
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      request_trace_t *trace = request_trace_new ("ab1");
      g_assert_true (request_trace_add (trace, ends[i]));
      g_assert_nonnull (strstr (request_trace_outcome (trace), "did not run"));
      request_trace_free (trace);
    }
}

static void
test_end_is_missing (void)
{
  request_trace_t *trace = request_trace_new ("ab1");
  request_trace_add (
      trace, LINE ("03.250000", "r-1", "request_sent id=ab1 backend=i"));
  g_assert_cmpstr (request_trace_outcome (trace), ==, "");
  request_trace_free (trace);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request-trace/refusals", test_refusals_have_texts);
  g_test_add_func ("/request-trace/order", test_order);
  g_test_add_func ("/request-trace/no-end", test_end_is_missing);
  return g_test_run ();
}
