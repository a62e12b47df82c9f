/* Tests of the RPC layer over loopback sockets.  They guard against calls that
   are served with a wrong key or when replayed, malformed records that affect
   other connections, and calls that never end.  */

#include <apr_general.h>
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "wire/rpc.h"
#include "wire/rpc_message.h"

enum
{
  PROGRAM = 0x20000777,
  PROCEDURE_DOUBLE = 1,
  PROCEDURE_SILENT = 2,
  CALL_TIMEOUT_USEC = 2 * 1000 * 1000,
};

static const unsigned char key_a[RPC_KEY_BYTES]
    = "0123456789abcdef0123456789abcde";
static const unsigned char key_b[RPC_KEY_BYTES]
    = "another key, which is not theirs";

typedef struct waiter
{
  GMutex lock;
  GCond changed;
  bool done;
  bool ok;
  bool sent;
  err_kind_t kind;
  uint32_t value;
  uint64_t incarnation;
} waiter_t;

static void
on_done (void *closure, const rpc_result_t *result)
{
  waiter_t *waiter = closure;
  g_mutex_lock (&waiter->lock);
  waiter->done = true;
  waiter->ok = result->ok;
  waiter->sent = result->sent;
  waiter->kind = result->error.kind;
  waiter->incarnation = result->sender.incarnation;
  if (result->ok)
    rpc_result_decode (result, (xdrproc_t)xdr_uint32_t, &waiter->value);
  g_cond_signal (&waiter->changed);
  g_mutex_unlock (&waiter->lock);
}

static void
serve_double (void *closure, rpc_call_t *call)
{
  (void)closure;
  uint32_t value = 0;
  if (!rpc_call_args (call, (xdrproc_t)xdr_uint32_t, &value))
    return;
  value *= 2;
  rpc_reply (call, (xdrproc_t)xdr_uint32_t, &value);
}

/* Does not answer; the test replies to the call later, which frees it.  */
static rpc_call_t *held_call;

static void
serve_silent (void *closure, rpc_call_t *call)
{
  (void)closure;
  held_call = call;
}

static uint16_t
free_port (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;
  g_assert_cmpint (bind (fd, (struct sockaddr *)&at, sizeof at), ==, 0);
  getsockname (fd, (struct sockaddr *)&at, &length);
  close (fd);
  return ntohs (at.sin_port);
}

static rpc_t *
open_rpc (uint16_t port, uint32_t vm, const unsigned char *key)
{
  err_t err = { 0 };
  const rpc_options_t options = { .address = "127.0.0.1",
                                  .port = port,
                                  .vm = vm,
                                  .incarnation = 1000 + vm,
                                  .key = key };
  rpc_t *rpc = rpc_open (&options, &err);
  g_assert_nonnull (rpc);
  rpc_register (rpc, PROGRAM, 1, PROCEDURE_DOUBLE, serve_double, NULL);
  rpc_register (rpc, PROGRAM, 1, PROCEDURE_SILENT, serve_silent, NULL);
  g_assert_true (rpc_start (rpc, &err));
  return rpc;
}

static void
waiter_init (waiter_t *waiter)
{
  *waiter = (waiter_t){ 0 };
  g_mutex_init (&waiter->lock);
  g_cond_init (&waiter->changed);
}

static void
waiter_wait (waiter_t *waiter)
{
  g_mutex_lock (&waiter->lock);
  while (!waiter->done)
    g_cond_wait (&waiter->changed, &waiter->lock);
  g_mutex_unlock (&waiter->lock);
}

/* Calls PROCEDURE with ARGS, encoded by ENCODE, and waits for the end.  */
static waiter_t
call_encoded (rpc_t *rpc, uint16_t port, uint32_t procedure, xdrproc_t encode,
              void *args, usec_t timeout)
{
  waiter_t waiter;
  waiter_init (&waiter);
  const rpc_request_t request = { .address = "127.0.0.1",
                                  .port = port,
                                  .program = PROGRAM,
                                  .version = 1,
                                  .procedure = procedure,
                                  .encode = encode,
                                  .args = args,
                                  .timeout = timeout,
                                  .done = on_done,
                                  .closure = &waiter };
  rpc_send (rpc, &request);
  waiter_wait (&waiter);
  return waiter;
}

static waiter_t
call (rpc_t *rpc, uint16_t port, uint32_t procedure, uint32_t value,
      usec_t timeout)
{
  return call_encoded (rpc, port, procedure, (xdrproc_t)xdr_uint32_t, &value,
                       timeout);
}

static void
test_call_and_answer (void)
{
  uint16_t port = free_port ();
  rpc_t *server = open_rpc (port, 1, key_a);
  rpc_t *client = open_rpc (0, 2, key_a);
  for (uint32_t i = 0; i < 1000; i++)
    {
      waiter_t waiter
          = call (client, port, PROCEDURE_DOUBLE, i, CALL_TIMEOUT_USEC);
      g_assert_true (waiter.ok);
      g_assert_cmpuint (waiter.value, ==, 2 * i);
      g_assert_cmpuint (waiter.incarnation, ==, 1001);
    }
  waiter_t waiter = call (client, port, 99, 1, CALL_TIMEOUT_USEC);
  g_assert_false (waiter.ok);
  g_assert_cmpint (waiter.kind, ==, ERR_PROTOCOL);
  rpc_close (client);
  rpc_close (server);
}

static void
test_wrong_key_is_refused (void)
{
  uint16_t port = free_port ();
  rpc_t *server = open_rpc (port, 1, key_a);
  rpc_t *client = open_rpc (0, 2, key_b);
  waiter_t waiter
      = call (client, port, PROCEDURE_DOUBLE, 1, CALL_TIMEOUT_USEC);
  g_assert_false (waiter.ok);
  g_assert_cmpuint (rpc_counters (server)->bad_auth, ==, 1);
  g_assert_cmpuint (rpc_counters (server)->calls_served, ==, 0);
  rpc_close (client);
  rpc_close (server);
}

static void
test_silent_peer_times_out (void)
{
  uint16_t port = free_port ();
  rpc_t *server = open_rpc (port, 1, key_a);
  rpc_t *client = open_rpc (0, 2, key_a);
  waiter_t waiter
      = call (client, port, PROCEDURE_SILENT, 1, 50 * USEC_PER_MSEC);
  g_assert_false (waiter.ok);
  g_assert_true (waiter.sent);
  g_assert_cmpint (waiter.kind, ==, ERR_TIMEOUT);
  waiter = call (client, port, PROCEDURE_DOUBLE, 4, CALL_TIMEOUT_USEC);
  g_assert_true (waiter.ok);
  rpc_reply (held_call, (xdrproc_t)xdr_uint32_t, &(uint32_t){ 0 });
  waiter = call (client, free_port (), PROCEDURE_DOUBLE, 4, CALL_TIMEOUT_USEC);
  g_assert_false (waiter.ok);
  g_assert_false (waiter.sent);
  rpc_close (client);
  rpc_close (server);
}

/* An unused connection is closed at both ends; the next call opens one.  */
static void
test_unused_connection_is_closed (void)
{
  uint16_t port = free_port ();
  err_t err = { 0 };
  rpc_t *server = open_rpc (port, 1, key_a);
  const rpc_options_t options = { .address = "127.0.0.1",
                                  .vm = 2,
                                  .incarnation = 1002,
                                  .key = key_a,
                                  .idle = 20 * USEC_PER_MSEC };
  rpc_t *client = rpc_open (&options, &err);
  g_assert_true (rpc_start (client, &err));
  for (uint32_t i = 0; i < 3; i++)
    {
      waiter_t waiter
          = call (client, port, PROCEDURE_DOUBLE, i, CALL_TIMEOUT_USEC);
      g_assert_true (waiter.ok);
      while (rpc_counters (client)->connections > 0
             || rpc_counters (server)->connections > 0)
        g_usleep (1000);
    }
  rpc_close (client);
  rpc_close (server);
}

static int
connect_raw (uint16_t port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  g_assert_cmpint (connect (fd, (struct sockaddr *)&at, sizeof at), ==, 0);
  return fd;
}

/* Send BYTES and read until the server closes the connection; the number of
   bytes read.  HALF_CLOSE ends the sending direction after BYTES.  */
static ssize_t
send_raw (uint16_t port, const void *bytes, size_t length, bool half_close)
{
  int fd = connect_raw (port);
  g_assert_cmpint (write (fd, bytes, length), ==, (ssize_t)length);
  if (half_close)
    shutdown (fd, SHUT_WR);
  char answer[256];
  ssize_t total = 0;
  ssize_t n;
  while ((n = read (fd, answer, sizeof answer)) > 0)
    total += n;
  close (fd);
  return total;
}

static void
test_garbage_ends_its_connection_only (void)
{
  uint16_t port = free_port ();
  rpc_t *server = open_rpc (port, 1, key_a);
  rpc_t *client = open_rpc (0, 2, key_a);
  static const char http[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  g_assert_cmpint (send_raw (port, http, sizeof http, false), ==, 0);
  const uint32_t too_long[] = { htonl (0xffffffffu), 0 };
  g_assert_cmpint (send_raw (port, too_long, sizeof too_long, false), ==, 0);
  const uint32_t truncated[] = { htonl (0x80000100u), 0 };
  g_assert_cmpint (send_raw (port, truncated, sizeof truncated, true), ==, 0);
  const uint32_t nonsense[] = { htonl (0x80000008u), 7, 7 };
  g_assert_cmpint (send_raw (port, nonsense, sizeof nonsense, false), ==, 0);
  waiter_t waiter
      = call (client, port, PROCEDURE_DOUBLE, 4, CALL_TIMEOUT_USEC);
  g_assert_true (waiter.ok);
  g_assert_cmpuint (rpc_counters (server)->bad_records, ==, 4);
  rpc_close (client);
  rpc_close (server);
}

/* A recorded call is refused on a new connection, because its nonce is not
   that of the connection.  */
static void
test_replay_is_refused (void)
{
  uint16_t port = free_port ();
  rpc_t *server = open_rpc (port, 1, key_a);
  rpc_call_header_t header = { .xid = 1,
                               .program = PROGRAM,
                               .version = 1,
                               .procedure = PROCEDURE_DOUBLE,
                               .sender = { 2, 1002 },
                               .nonce = 12345,
                               .sequence = 2 };
  uint32_t value = 4;
  rpc_frame_t frame = { 0 };
  g_assert_true (rpc_message_call (&frame, &header, (xdrproc_t)xdr_uint32_t,
                                   &value, key_a));
  g_assert_cmpint (send_raw (port, frame.bytes, frame.length, false), >, 0);
  g_assert_cmpuint (rpc_counters (server)->replays, ==, 1);
  g_assert_cmpuint (rpc_counters (server)->calls_served, ==, 0);
  free (frame.bytes);
  rpc_close (server);
}

/* A port that answers no opening packet: its queue of new connections is full.
   Returns the listener; FILLERS fill the queue.  */
static int
open_silent_port (uint16_t port, int fillers[2])
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  g_assert_cmpint (bind (fd, (struct sockaddr *)&at, sizeof at), ==, 0);
  g_assert_cmpint (listen (fd, 0), ==, 0);
  for (int i = 0; i < 2; i++)
    {
      fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      /* It may be in progress still.  */
      (void)connect (fillers[i], (struct sockaddr *)&at, sizeof at);
    }
  return fd;
}

/* A peer that has no power yet loses the opening packet, which the kernel
   sends again only after a second.  Guards against a process that waits so
   long for a peer that is there by then: the connection is opened anew several
   times within one call.  */
static void
test_lost_opening_packet (void)
{
  int fillers[2];
  uint16_t port = free_port ();
  int listener = open_silent_port (port, fillers);
  rpc_t *client = open_rpc (0, 2, key_a);
  waiter_t waiter
      = call (client, port, PROCEDURE_DOUBLE, 4, CALL_TIMEOUT_USEC);
  g_assert_false (waiter.ok);
  g_assert_cmpint (waiter.kind, ==, ERR_TIMEOUT);
  g_assert_cmpuint (rpc_counters (client)->reconnects, >=, 2);
  rpc_close (client);
  close (listener);
  close (fillers[0]);
  close (fillers[1]);
}

/* Fails to encode, as arguments do that exceed the limits of the .x file.  */
static bool_t
encode_nothing (XDR *xdr, void *args)
{
  (void)xdr;
  (void)args;
  return FALSE;
}

/* Arguments that are too long for a record, or for the limits of the
   procedure, fail their call alone: guards against the end of the process, and
   against a connection that is closed under other calls.  */
static void
test_too_long_call_fails (void)
{
  uint16_t port = free_port ();
  rpc_t *server = open_rpc (port, 1, key_a);
  rpc_t *client = open_rpc (0, 2, key_a);
  char *text = g_strnfill (RPC_RECORD_BYTES_MAX, 'x');
  const xdrproc_t encode[]
      = { (xdrproc_t)encode_nothing, (xdrproc_t)xdr_wrapstring };
  g_assert_true (
      call (client, port, PROCEDURE_DOUBLE, 4, CALL_TIMEOUT_USEC).ok);
  for (size_t i = 0; i < G_N_ELEMENTS (encode); i++)
    {
      waiter_t waiter = call_encoded (client, port, PROCEDURE_DOUBLE,
                                      encode[i], &text, CALL_TIMEOUT_USEC);
      g_assert_false (waiter.ok);
      g_assert_false (waiter.sent);
      g_assert_cmpint (waiter.kind, ==, ERR_USAGE);
    }
  g_assert_true (
      call (client, port, PROCEDURE_DOUBLE, 4, CALL_TIMEOUT_USEC).ok);
  g_assert_cmpuint (rpc_counters (client)->connections, ==, 1);
  g_free (text);
  rpc_close (client);
  rpc_close (server);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  apr_initialize ();
  g_test_add_func ("/wire/rpc/answer", test_call_and_answer);
  g_test_add_func ("/wire/rpc/key", test_wrong_key_is_refused);
  g_test_add_func ("/wire/rpc/silent", test_silent_peer_times_out);
  g_test_add_func ("/wire/rpc/unused", test_unused_connection_is_closed);
  g_test_add_func ("/wire/rpc/garbage", test_garbage_ends_its_connection_only);
  g_test_add_func ("/wire/rpc/replay", test_replay_is_refused);
  g_test_add_func ("/wire/rpc/lost-opening", test_lost_opening_packet);
  g_test_add_func ("/wire/rpc/too-long", test_too_long_call_fails);
  int failed = g_test_run ();
  apr_terminate ();
  return failed;
}
