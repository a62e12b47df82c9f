/* Guards against a response that is told as whole without knowing it: lengths
   that can't be read or differ, other framings of a body, and connections that
   end in another way than the response.  */

#include <glib.h>
#include <string.h>

#include "wire/answer_head.h"
#include "wire/http_handles.h"

#define LARGEST "9223372036854775807"
#define TOO_LARGE "9223372036854775808"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

/* Field lines, the framing of a response with status 200, and its length.  */
static const struct
{
  const char *fields;
  framing_kind_t kind;
  uint64_t length;
} framings[] = {
  { "", FRAMING_UNTIL_CLOSE, 0 },
  { "Content-Length: 900\r\n", FRAMING_LENGTH, 900 },
  { "Content-Length: 0\r\n", FRAMING_LENGTH, 0 },
  { "Content-Length:900\n", FRAMING_LENGTH, 900 },
  { "content-LENGTH: \t 900 \t\r\n", FRAMING_LENGTH, 900 },
  { "Content-Length: 000900\r\n", FRAMING_LENGTH, 900 },
  { "Content-Length: 0000000000000000000000000900\r\n", FRAMING_LENGTH, 900 },
  { "Content-Length: " LARGEST "\r\n", FRAMING_LENGTH, INT64_MAX },
  { "Content-Length: 900, 900\r\n", FRAMING_LENGTH, 900 },
  { "Content-Length: 900,0900\t,\t900\r\n", FRAMING_LENGTH, 900 },
  { "Content-Length: 900\r\nContent-Length: 900\r\n", FRAMING_LENGTH, 900 },
  { "Content-Length: 0\r\nX: 1\r\nContent-Length: 0\r\n", FRAMING_LENGTH, 0 },
  { "Content-Length: 450, 900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900, 900, 450\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 0, 900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900,\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: ,900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900,,900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: , ,\r\n", FRAMING_INVALID, 0 },
  { "Content-Length:\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: \t\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: +900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: -900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 450x\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 0x384\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 9 00\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900;q=1\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900.0\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: \"900\"\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900\r\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900\v\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: " TOO_LARGE "\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 18446744073709552516\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 10000000000000000000000000\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 450\r\nContent-Length: 900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900\r\nContent-Length: 900x\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: x\r\nContent-Length: 900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length : 900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length\t: 900\r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding : chunked\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 450\r\n 900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length:\r\n\t900\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900\r\n \r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding:\r\n chunked\r\n", FRAMING_INVALID, 0 },
  { CHUNKED "\t, gzip\r\n", FRAMING_INVALID, 0 },
  { "X: 1\r\n Content-Length: 900\r\n", FRAMING_UNTIL_CLOSE, 0 },
  { "Content-Length: 900\r\nX: 1\r\n 450\r\n", FRAMING_LENGTH, 900 },
  { "Content-Length: 900\r\nX\r\n 450\r\n", FRAMING_LENGTH, 900 },
  { CHUNKED, FRAMING_CHUNKS, 0 },
  { "TRANSFER-encoding:\tChunked \r\n", FRAMING_CHUNKS, 0 },
  { CHUNKED CHUNKED, FRAMING_INVALID, 0 },
  { "Transfer-Encoding: chunked, chunked\r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding: gzip, chunked\r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding: gzip\r\n" CHUNKED, FRAMING_INVALID, 0 },
  { CHUNKED "Transfer-Encoding: gzip\r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding: identity\r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding:\r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding: chunked;x=1\r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding: chunkedx\r\n", FRAMING_INVALID, 0 },
  { "Transfer-Encoding: chunk\r\n", FRAMING_INVALID, 0 },
  { "Content-Length: 900\r\n" CHUNKED, FRAMING_INVALID, 0 },
  { CHUNKED "Content-Length: 900\r\n", FRAMING_INVALID, 0 },
  { CHUNKED "Content-Length: 0\r\n", FRAMING_INVALID, 0 },
  { "X-Content-Length: 900\r\n", FRAMING_UNTIL_CLOSE, 0 },
  { "Content-Lengths: 900\r\n", FRAMING_UNTIL_CLOSE, 0 },
  { "Content-Length 900\r\n", FRAMING_UNTIL_CLOSE, 0 },
  { ": 900\r\n", FRAMING_UNTIL_CLOSE, 0 },
  { "TE: chunked\r\nTrailer: Content-Length\r\n", FRAMING_UNTIL_CLOSE, 0 },
};

/* Pass on TEXT line by line, as libcurl does.  */
static void
read_lines (answer_head_t *head, const char *text)
{
  while (*text)
    {
      size_t length = strcspn (text, "\n") + 1;
      g_assert_cmpint (answer_head_next (head, text, length), !=,
                       HEAD_LINE_MALFORMED);
      text += length;
    }
}

static answer_head_t
read_head (const char *before, unsigned int status, const char *fields)
{
  answer_head_t head = { 0 };
  g_autofree char *text
      = g_strdup_printf ("%sHTTP/1.1 %u Reason\r\nRequest-Id: id-1\r\n%s\r\n",
                         before, status, fields);
  read_lines (&head, text);
  g_assert_true (answer_head_is_final (&head));
  g_assert_cmpuint (head.status, ==, status);
  return head;
}

static void
check_framing (size_t i, const char *before, unsigned int status)
{
  answer_head_t head = read_head (before, status, framings[i].fields);
  framing_kind_t kind = response_framing_kind (&head.framing, false, status);
  if (kind != framings[i].kind)
    g_error ("'%s': %s", framings[i].fields, framing_kind_name (kind));
  if (kind == FRAMING_LENGTH)
    g_assert_cmpuint (head.framing.length, ==, framings[i].length);
}

static void
test_kinds (void)
{
  static const unsigned int statuses[] = { 200, 201, 205, 206, 404, 500, 503 };
  for (size_t i = 0; i < G_N_ELEMENTS (framings); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (statuses); j++)
      check_framing (i, "", statuses[j]);
}

/* A response of HTTP/1.0 has no chunks, whatever comes after its head.  */
static void
test_old_version (void)
{
  answer_head_t head = { 0 };
  read_lines (&head, "HTTP/1.0 200 OK\r\n" CHUNKED "\r\n");
  g_assert_cmpint (response_framing_kind (&head.framing, false, 200), ==,
                   FRAMING_INVALID);
  answer_head_t plain = { 0 };
  read_lines (&plain, "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\n");
  g_assert_cmpint (response_framing_kind (&plain.framing, false, 200), ==,
                   FRAMING_LENGTH);
}

/* What an informational response says of a body concerns no other.  */
static void
test_informational (void)
{
  static const char *const before[] = {
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Hints\r\nContent-Length: 450\r\n\r\n",
    "HTTP/1.1 103 Hints\r\nContent-Length: x\r\n\r\n"
    "HTTP/1.1 102 Processing\r\n" CHUNKED "\r\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (framings); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (before); j++)
      check_framing (i, before[j], 200);
}

/* HEAD, 204 and 304 have no body, whatever their fields say.  */
static void
test_no_body (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (framings); i++)
    {
      answer_head_t head = read_head ("", 200, framings[i].fields);
      const response_framing_t *framing = &head.framing;
      g_assert_cmpint (response_framing_kind (framing, true, 200), ==,
                       FRAMING_NO_BODY);
      g_assert_cmpint (response_framing_kind (framing, false, 204), ==,
                       FRAMING_NO_BODY);
      g_assert_cmpint (response_framing_kind (framing, false, 304), ==,
                       FRAMING_NO_BODY);
    }
}

/* Of a length of 900.  */
static void
test_completeness (void)
{
  answer_head_t head = read_head ("", 200, "Content-Length: 900\r\n");
  const response_framing_t *framing = &head.framing;
  static const uint64_t n_read[] = { 0, 1, 899, 900, 901, UINT64_MAX };
  for (connection_end_t end = CONNECTION_KEPT; end <= CONNECTION_NONE; end++)
    for (size_t i = 0; i < G_N_ELEMENTS (n_read); i++)
      for (framing_kind_t kind = FRAMING_NO_BODY; kind <= FRAMING_INVALID;
           kind++)
        {
          body_completeness_t expected = BODY_TRUNCATED;
          if (kind == FRAMING_UNTIL_CLOSE && end == CONNECTION_CLOSED)
            expected = BODY_END_UNSURE;
          if (end == CONNECTION_KEPT
              && (kind == FRAMING_NO_BODY || kind == FRAMING_CHUNKS
                  || (kind == FRAMING_LENGTH && n_read[i] == 900)))
            expected = BODY_WHOLE;
          g_assert_cmpint (
              response_framing_completeness (framing, kind, n_read[i], end),
              ==, expected);
        }
}

/* Guards against a reset, or any other error, taken for an ordinary close; an
   error of another kind told as a reset; and a close within a head taken for
   the end of a response.  */
static void
test_connection_end (void)
{
  static const struct
  {
    CURLcode code;
    connection_end_t end;
  } errors[] = {
    { CURLE_RECV_ERROR, CONNECTION_RESET },
    { CURLE_SEND_ERROR, CONNECTION_RESET },
    { CURLE_ABORTED_BY_CALLBACK, CONNECTION_LOST },
    { CURLE_COULDNT_CONNECT, CONNECTION_LOST },
    { CURLE_WEIRD_SERVER_REPLY, CONNECTION_MALFORMED },
    { CURLE_BAD_CONTENT_ENCODING, CONNECTION_MALFORMED },
    { CURLE_UNSUPPORTED_PROTOCOL, CONNECTION_MALFORMED },
  };
  static const char *const fields[] = { "", "Content-Length: 9\r\n", CHUNKED };
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      answer_head_t head = read_head ("", 200, fields[i]);
      for (size_t j = 0; j < G_N_ELEMENTS (errors); j++)
        g_assert_cmpint (http_connection_end (errors[j].code, &head, false),
                         ==, errors[j].end);
      g_assert_cmpint (
          http_connection_end (CURLE_OPERATION_TIMEDOUT, &head, false), ==,
          CONNECTION_TIMED_OUT);
      g_assert_cmpint (http_connection_end (CURLE_WRITE_ERROR, &head, false),
                       ==, CONNECTION_REJECTED);
      g_assert_cmpint (http_connection_end (CURLE_PARTIAL_FILE, &head, false),
                       ==, CONNECTION_CLOSED);
      g_assert_cmpint (http_connection_end (CURLE_OK, &head, false), ==,
                       i == 0 ? CONNECTION_CLOSED : CONNECTION_KEPT);
      g_assert_cmpint (http_connection_end (CURLE_OK, &head, true), ==,
                       CONNECTION_KEPT);
    }
  answer_head_t open = { 0 };
  read_lines (&open, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n");
  g_assert_false (answer_head_is_final (&open));
  g_assert_cmpint (http_connection_end (CURLE_OK, &open, false), ==,
                   CONNECTION_CLOSED);
  g_assert_cmpint (http_connection_end (CURLE_OK, &open, true), ==,
                   CONNECTION_CLOSED);
}

/* An empty line that is cut, and a head within a head.  */
static void
test_head (void)
{
  static const char *const last[]
      = { "\r", "Content-Length: 9", "", "HTTP/1.1 200 OK\r\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (last); i++)
    {
      answer_head_t head = { 0 };
      read_lines (&head, "HTTP/1.1 200 OK\r\n");
      g_assert_cmpint (answer_head_next (&head, last[i], strlen (last[i])), ==,
                       HEAD_LINE_MALFORMED);
      g_assert_false (answer_head_is_final (&head));
    }
}

/* Guards against a line after a final response that is taken for the head of
   another one, with its status.  */
static void
test_head_after_final (void)
{
  answer_head_t head = read_head ("", 503, "Content-Length: 9\r\n");
  static const char line[] = "HTTP/1.1 200 OK\r\n";
  g_assert_cmpint (answer_head_next (&head, line, strlen (line)), ==,
                   HEAD_LINE_MALFORMED);
  g_assert_true (answer_head_is_final (&head));
  g_assert_cmpuint (head.status, ==, 503);
  g_assert_cmpint (answer_head_next (&head, "X: 1\r\n", 6), ==,
                   HEAD_LINE_TRAILER);
}

/* Guards against the beginning of a second response, cut within a line, whose
   status or refusal is taken for that of the response that follows it.  */
static void
test_two_heads (void)
{
  static const struct
  {
    const char *line;
    bool is_first;
  } merged[] = {
    { "HTTP/1.1 503HTTP/1.1 200 OK\r\n", true },
    { "HTTP/1.1 503 FulHTTP/1.1 200 OK\r\n", true },
    { "HTTP/1.1 503 FulHTTP/1.0 200\n", true },
    { "HHTTP/1.1 200 OK\r\n", false },
    { "ReqHTTP/1.1 200 OK\r\n", false },
    { "Not-Executed: fuHTTP/1.1 200 OK\r\n", false },
  };
  static const char *const good[]
      = { "Via: HTTP/1.1 proxy\r\n", "X: HTTP/1.1 20\r\n", "X: HTTP/11 200\n",
          "Upgrade: HTTP/2.0\r\n", "H: HHTTP\r\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (merged); i++)
    {
      answer_head_t head = { 0 };
      if (!merged[i].is_first)
        read_lines (&head, "HTTP/1.1 503 Full\r\nNot-Executed: full\r\n");
      if (answer_head_next (&head, merged[i].line, strlen (merged[i].line))
          != HEAD_LINE_MALFORMED)
        g_error ("taken for one line: %s", merged[i].line);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (good); i++)
    read_head ("", 200, good[i]);
}

/* Guards against a status that is none, and against one of another protocol,
   being taken for a response.  */
static void
test_no_status (void)
{
  static const char *const none[]
      = { "HTTP/1.1 200x OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 20 OK\r\n",
          "HTTP/1.1  200 OK\r\n", "HTTP/1.1 +20 OK\r\n",  "HTTP/1.1 OK\r\n",
          "HTTP/1.1\r\n",         "HTTP/2.0 200 OK\r\n",  "HTTP/2 200\r\n",
          "HTTP/0.9 200 OK\r\n",  "HTTP/1.1 20\n",        "HTTP/1.1 200" };
  for (size_t i = 0; i < G_N_ELEMENTS (none); i++)
    {
      answer_head_t head = { 0 };
      if (answer_head_next (&head, none[i], strlen (none[i]))
          != HEAD_LINE_MALFORMED)
        g_error ("taken for a status line: %s", none[i]);
    }
  for (unsigned int status = 0; status < 1000; status++)
    {
      answer_head_t head = { 0 };
      g_autofree char *line = g_strdup_printf ("HTTP/1.1 %03u\r\n", status);
      bool is_status = status >= 100 && status < 600 && status != 101;
      g_assert_cmpint (answer_head_next (&head, line, strlen (line)), ==,
                       is_status ? HEAD_LINE_STATUS : HEAD_LINE_MALFORMED);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/response_framing/kinds", test_kinds);
  g_test_add_func ("/response_framing/old-version", test_old_version);
  g_test_add_func ("/response_framing/informational", test_informational);
  g_test_add_func ("/response_framing/no-body", test_no_body);
  g_test_add_func ("/response_framing/completeness", test_completeness);
  g_test_add_func ("/response_framing/connection-end", test_connection_end);
  g_test_add_func ("/response_framing/head", test_head);
  g_test_add_func ("/response_framing/two-heads", test_two_heads);
  g_test_add_func ("/response_framing/no-status", test_no_status);
  g_test_add_func ("/response_framing/head-after-final",
                   test_head_after_final);
  return g_test_run ();
}
