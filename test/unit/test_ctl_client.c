/* Tests of signed requests to control VMs that fail in several ways: the
   client must go on to the next VM, and must not report a lost or forged
   answer as a final one.  */

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "ctl/client.h"

enum
{
  VMS = 3,
  BODY_BYTES = 64,
};

/* How a fake control VM answers.  */
typedef enum
{
  ANSWER_GOOD,
  ANSWER_UNAVAILABLE,
  ANSWER_FORGED,
  ANSWER_UNSIGNED,
  ANSWER_STARTED, /* as if it started after the first signature */
  ANSWER_CUT,     /* reads the request, then closes the connection */
} answer_t;

typedef struct fake_vm
{
  struct MHD_Daemon *daemon;
  char address[16];
  uint16_t port;
  answer_t answer;
  int n_requests;
  char body[BODY_BYTES];
  size_t body_bytes;
} fake_vm_t;

static credential_t credential = { .operator_name.text = "hana",
                                   .key = "a key of thirty-two bytes......" };

static enum MHD_Result
reply (fake_vm_t *vm, struct MHD_Connection *connection)
{
  const char *text = "{\"outcome\":\"accepted\"}";
  bool refuses = vm->answer == ANSWER_UNSIGNED
                 || (vm->answer == ANSWER_STARTED && vm->n_requests == 1);
  unsigned status = vm->answer == ANSWER_UNAVAILABLE ? 503
                    : refuses                        ? 401
                                                     : 200;
  const char *header = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
  char signature[CREDENTIAL_ANSWER_BYTES];
  credential_sign_answer (&credential, header, status, text, strlen (text),
                          signature);
  if (vm->answer == ANSWER_FORGED)
    signature[0] = signature[0] == '0' ? '1' : '0';
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_PERSISTENT);
  if (!refuses)
    MHD_add_response_header (response, CREDENTIAL_ANSWER_HEADER, signature);
  enum MHD_Result queued = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return queued;
}

static enum MHD_Result
serve (void *closure, struct MHD_Connection *connection, const char *url,
       const char *method, const char *version, const char *body,
       size_t *body_bytes, void **state)
{
  (void)version;
  fake_vm_t *vm = closure;
  g_assert_cmpstr (url, ==, "/v1/sheet");
  g_assert_cmpstr (method, ==, "POST");
  if (!*state)
    {
      *state = vm;
      vm->n_requests++;
      vm->body_bytes = 0;
      return MHD_YES;
    }
  if (*body_bytes > 0)
    {
      g_assert_cmpuint (vm->body_bytes + *body_bytes, <=, BODY_BYTES);
      memcpy (vm->body + vm->body_bytes, body, *body_bytes);
      vm->body_bytes += *body_bytes;
      *body_bytes = 0;
      return MHD_YES;
    }
  return vm->answer == ANSWER_CUT ? MHD_NO : reply (vm, connection);
}

typedef struct fixture
{
  fake_vm_t vm[VMS];
  const char *addresses[VMS];
  client_options_t options;
  client_request_t request;
  client_reply_t reply;
  err_t err;
} fixture_t;

static void
vm_start (fake_vm_t *vm, int index, uint16_t port)
{
  g_snprintf (vm->address, sizeof vm->address, "127.44.1.%d", index + 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, vm->address, &address.sin_addr);
  vm->daemon = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, port, NULL,
                                 NULL, serve, vm, MHD_OPTION_SOCK_ADDR,
                                 &address, MHD_OPTION_END);
  g_assert_nonnull (vm->daemon);
  vm->port = MHD_get_daemon_info (vm->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static void
setup (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  for (int i = 0; i < VMS; i++)
    {
      vm_start (&fixture->vm[i], i, i == 0 ? 0 : fixture->vm[0].port);
      fixture->addresses[i] = fixture->vm[i].address;
    }
  fixture->options = (client_options_t){ .addresses = fixture->addresses,
                                         .n_addresses = VMS,
                                         .port = fixture->vm[0].port,
                                         .credential = &credential,
                                         .attempt_timeout = USEC_PER_SEC,
                                         .timeout = 20 * USEC_PER_SEC };
  fixture->request = (client_request_t){ .method = "POST",
                                         .target = "/v1/sheet",
                                         .body = "number,7",
                                         .body_bytes = 8 };
}

static void
vm_stop (fake_vm_t *vm)
{
  if (vm->daemon)
    MHD_stop_daemon (vm->daemon);
  vm->daemon = NULL;
}

static void
teardown (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  for (int i = 0; i < VMS; i++)
    vm_stop (&fixture->vm[i]);
  client_reply_free (&fixture->reply);
}

static bool
ask (fixture_t *fixture)
{
  return client_send (&fixture->options, &fixture->request, &fixture->reply,
                      &fixture->err);
}

/* The first VM is down, the second loses its answer, the third answers.  */
static void
test_the_next_vm_is_asked (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  vm_stop (&fixture->vm[0]);
  fixture->vm[1].answer = ANSWER_CUT;
  g_assert_true (ask (fixture));
  g_assert_cmpuint (fixture->reply.status, ==, 200);
  g_assert_cmpstr (fixture->reply.address, ==, "127.44.1.3");
  g_assert_cmpstr (fixture->reply.body, ==, "{\"outcome\":\"accepted\"}");
  /* libcurl must not have resent the request by itself.  */
  g_assert_cmpint (fixture->vm[1].n_requests, ==, 1);
  g_assert_cmpint (fixture->vm[2].n_requests, ==, 1);
  g_assert_cmpmem (fixture->vm[2].body, fixture->vm[2].body_bytes, "number,7",
                   8);
}

static void
test_a_final_answer_ends_it (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  fixture->vm[0].answer = ANSWER_UNSIGNED;
  g_assert_true (ask (fixture));
  g_assert_cmpuint (fixture->reply.status, ==, 401);
  g_assert_cmpint (fixture->vm[1].n_requests, ==, 0);
}

/* A control VM that was restarted refuses a signature from before its start;
   the client signs the request again, and the VM accepts it.  */
static void
test_a_refusal_is_signed_anew (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  fixture->vm[0].answer = ANSWER_STARTED;
  g_assert_true (ask (fixture));
  g_assert_cmpuint (fixture->reply.status, ==, 200);
  g_assert_cmpint (fixture->vm[0].n_requests, ==, 2);
}

static void
test_a_forged_answer_is_none (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  fixture->vm[0].answer = ANSWER_FORGED;
  g_assert_true (ask (fixture));
  g_assert_cmpstr (fixture->reply.address, ==, "127.44.1.2");
  client_reply_free (&fixture->reply);
  for (int i = 0; i < VMS; i++)
    fixture->vm[i].answer = ANSWER_FORGED;
  fixture->options.timeout = USEC_PER_SEC / 2;
  g_assert_false (ask (fixture));
  g_assert_cmpint (fixture->err.kind, ==, ERR_AUTH);
}

static void
test_no_answer_is_unknown (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  for (int i = 0; i < VMS; i++)
    fixture->vm[i].answer = ANSWER_UNAVAILABLE;
  fixture->options.timeout = USEC_PER_SEC;
  g_assert_false (ask (fixture));
  g_assert_cmpint (fixture->err.kind, ==, ERR_TIMEOUT);
  g_assert_cmpint (fixture->vm[0].n_requests, >, 1);
}

static void
test_no_vm_is_unavailable (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  for (int i = 0; i < VMS; i++)
    vm_stop (&fixture->vm[i]);
  fixture->options.timeout = USEC_PER_SEC / 2;
  g_assert_false (ask (fixture));
  g_assert_cmpint (fixture->err.kind, ==, ERR_UNAVAILABLE);
}

/* A VM that accepts connections and never answers must not use up the time-out
   of all attempts.  */
static void
test_a_silent_vm_is_left (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  vm_stop (&fixture->vm[0]);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (fixture->options.port) };
  inet_pton (AF_INET, fixture->addresses[0], &address.sin_addr);
  g_assert_cmpint (
      bind (listener, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (listen (listener, 8), ==, 0);
  g_assert_true (ask (fixture));
  g_assert_cmpstr (fixture->reply.address, ==, "127.44.1.2");
  close (listener);
}

static void
add (const char *path, void (*test) (fixture_t *, gconstpointer))
{
  g_test_add (path, fixture_t, NULL, setup, test, teardown);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add ("/ctl/client/next", test_the_next_vm_is_asked);
  add ("/ctl/client/final", test_a_final_answer_ends_it);
  add ("/ctl/client/signed-anew", test_a_refusal_is_signed_anew);
  add ("/ctl/client/forged", test_a_forged_answer_is_none);
  add ("/ctl/client/unknown", test_no_answer_is_unknown);
  add ("/ctl/client/unavailable", test_no_vm_is_unavailable);
  add ("/ctl/client/silent", test_a_silent_vm_is_left);
  return g_test_run ();
}
