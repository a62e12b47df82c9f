/* bench-rpc: what one authenticated call between two of our processes costs:
   latency one at a time, and calls a second with many under way.  */

#include <apr_general.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "wire/rpc.h"

enum
{
  PROGRAM = 0x20000778,
  PROCEDURE_ECHO = 1,
  PORT = 17979,
  SEQUENTIAL_CALLS = 20000,
  PIPELINED_CALLS = 200000,
  WINDOW = 64,
  TIMEOUT_USEC = 5 * 1000 * 1000,
};

static const unsigned char key[RPC_KEY_BYTES]
    = "0123456789abcdef0123456789abcde";

typedef struct load
{
  rpc_t *client;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  int left;
  int under_way;
  int failed;
} load_t;

static void
serve_echo (void *closure, rpc_call_t *call)
{
  (void)closure;
  uint64_t value = 0;
  if (rpc_call_args (call, (xdrproc_t)xdr_uint64_t, &value))
    rpc_reply (call, (xdrproc_t)xdr_uint64_t, &value);
}

static void
on_done (void *closure, const rpc_result_t *result)
{
  load_t *load = closure;
  pthread_mutex_lock (&load->lock);
  load->under_way--;
  load->failed += !result->ok;
  pthread_cond_signal (&load->changed);
  pthread_mutex_unlock (&load->lock);
}

static void
call_once (load_t *load)
{
  uint64_t value = (uint64_t)load->left;
  const rpc_request_t request = { .address = "127.0.0.1",
                                  .port = PORT,
                                  .program = PROGRAM,
                                  .version = 1,
                                  .procedure = PROCEDURE_ECHO,
                                  .encode = (xdrproc_t)xdr_uint64_t,
                                  .args = &value,
                                  .timeout = TIMEOUT_USEC,
                                  .done = on_done,
                                  .closure = load };
  rpc_send (load->client, &request);
}

/* N calls with at most WINDOW under way; each one's latency goes into
   HISTOGRAM where only one is.  Returns the seconds that it took.  */
static double
run (load_t *load, int n, int window, histogram_t *histogram)
{
  usec_t start = clock_monotonic ();
  load->left = n;
  pthread_mutex_lock (&load->lock);
  while (load->left > 0 || load->under_way > 0)
    {
      if (load->left == 0 || load->under_way >= window)
        {
          pthread_cond_wait (&load->changed, &load->lock);
          continue;
        }
      load->left--;
      load->under_way++;
      pthread_mutex_unlock (&load->lock);
      usec_t sent = clock_monotonic ();
      call_once (load);
      pthread_mutex_lock (&load->lock);
      while (window == 1 && load->under_way > 0)
        pthread_cond_wait (&load->changed, &load->lock);
      if (window == 1)
        histogram_record (histogram, clock_monotonic () - sent);
    }
  pthread_mutex_unlock (&load->lock);
  return (double)(clock_monotonic () - start) / USEC_PER_SEC;
}

static rpc_t *
open_rpc (uint16_t port, uint32_t vm)
{
  err_t err = { 0 };
  const rpc_options_t options = { .address = "127.0.0.1",
                                  .port = port,
                                  .vm = vm,
                                  .incarnation = vm + 1,
                                  .key = key };
  rpc_t *rpc = rpc_open (&options, &err);
  if (!rpc)
    {
      fprintf (stderr, "bench-rpc: %s\n", err.message);
      exit (EXIT_FAILURE);
    }
  rpc_register (rpc, PROGRAM, 1, PROCEDURE_ECHO, serve_echo, NULL);
  rpc_start (rpc, &err);
  return rpc;
}

int
main (void)
{
  apr_initialize ();
  rpc_t *server = open_rpc (PORT, 1);
  load_t load = { .client = open_rpc (0, 2),
                  .lock = PTHREAD_MUTEX_INITIALIZER,
                  .changed = PTHREAD_COND_INITIALIZER };
  static histogram_t histogram;
  run (&load, SEQUENTIAL_CALLS, 1, &histogram);
  printf ("one at a time: p50 %lld us, p99 %lld us, p99.9 %lld us\n",
          (long long)histogram_quantile (&histogram, 0.5),
          (long long)histogram_quantile (&histogram, 0.99),
          (long long)histogram_quantile (&histogram, 0.999));
  clock_t cpu = clock ();
  double seconds = run (&load, PIPELINED_CALLS, WINDOW, &histogram);
  double cpu_seconds = (double)(clock () - cpu) / CLOCKS_PER_SEC;
  printf ("%d under way: %.0f calls/s, %.1f us of CPU a call (both ends)\n",
          WINDOW, PIPELINED_CALLS / seconds,
          cpu_seconds * USEC_PER_SEC / PIPELINED_CALLS);
  printf ("failed: %d\n", load.failed);
  rpc_close (load.client);
  rpc_close (server);
  apr_terminate ();
  return load.failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
