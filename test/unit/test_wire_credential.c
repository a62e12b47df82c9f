/* Tests of request signatures and key files.  They guard against a VM that
   accepts a replayed, altered or malformed request, or one signed with another
   key, and against keys in a file that other users can access.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "base/random.h"
#include "wire/credential.h"

#define KEY_A                                                                 \
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define KEY_B                                                                 \
  "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static const usec_t start = 1000 * USEC_PER_SEC;
static const usec_t moment = 2000 * USEC_PER_SEC;

static const credential_request_t submit = { .method = "POST",
                                             .target = "/v1/sheets",
                                             .vm = "127.44.0.1:7301",
                                             .body = "number,7",
                                             .body_bytes = 8 };

/* Load a key file of TEXT and MODE.  */
static bool
load_text (credentials_t *credentials, const char *text, int mode, err_t *err)
{
  char *path;
  int fd = g_file_open_tmp ("mulberry-keys-XXXXXX", &path, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_chmod (path, mode);
  bool ok = credentials_load (credentials, path, err);
  g_unlink (path);
  g_free (path);
  g_close (fd, NULL);
  return ok;
}

typedef struct fixture
{
  credentials_t credentials;
  credential_verifier_t *verifier;
  const credential_t *hana;
  unsigned char nonce[CREDENTIAL_NONCE_BYTES];
  char header[CREDENTIAL_HEADER_BYTES];
  const credential_t *who;
} fixture_t;

static void
setup (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  err_t err = { 0 };
  g_assert_true (load_text (&fixture->credentials,
                            "# operators\n\nhana " KEY_A "\njana " KEY_B "\n",
                            0600, &err));
  fixture->verifier = credential_verifier_new (&fixture->credentials, start);
  fixture->hana = credentials_find (&fixture->credentials, "hana");
  credential_sign (fixture->hana, &submit, moment, fixture->nonce,
                   fixture->header);
}

static void
teardown (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  credential_verifier_free (fixture->verifier);
  credentials_free (&fixture->credentials);
}

static void
test_signed_once_is_good_then_a_replay (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  for (int i = 0; i < 2; i++)
    {
      credential_verdict_t verdict = credential_verify (
          fixture->verifier, &submit, fixture->header, moment, &fixture->who);
      g_assert_cmpint (verdict, ==,
                       i == 0 ? CREDENTIAL_GOOD : CREDENTIAL_REPLAY);
      g_assert_true (fixture->who == (i == 0 ? fixture->hana : NULL));
    }
}

static void
test_any_change_is_refused (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  credential_request_t changed[5] = { submit, submit, submit, submit, submit };
  changed[0].method = "GET";
  changed[1].target = "/v1/status";
  changed[2].vm = "127.44.0.2:7301"; /* replayed to another VM */
  changed[3].body = "number,8";
  changed[4].body_bytes = 7;
  for (size_t i = 0; i < G_N_ELEMENTS (changed); i++)
    g_assert_cmpint (credential_verify (fixture->verifier, &changed[i],
                                        fixture->header, moment,
                                        &fixture->who),
                     ==, CREDENTIAL_WRONG_KEY);
  credential_t stranger = *fixture->hana;
  stranger.key[0] ^= 1;
  credential_sign (&stranger, &submit, moment, fixture->nonce,
                   fixture->header);
  g_assert_cmpint (credential_verify (fixture->verifier, &submit,
                                      fixture->header, moment, &fixture->who),
                   ==, CREDENTIAL_WRONG_KEY);
}

static void
test_time_is_bounded (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  const usec_t late = moment + CREDENTIAL_WINDOW + 1;
  const usec_t early = moment - CREDENTIAL_WINDOW - 1;
  g_assert_cmpint (credential_verify (fixture->verifier, &submit,
                                      fixture->header, late, &fixture->who),
                   ==, CREDENTIAL_STALE);
  g_assert_cmpint (credential_verify (fixture->verifier, &submit,
                                      fixture->header, early, &fixture->who),
                   ==, CREDENTIAL_STALE);
  /* A restarted VM has lost its stored nonces, so it must refuse requests
     signed before its start.  */
  credential_verifier_t *restarted
      = credential_verifier_new (&fixture->credentials, moment + 1);
  g_assert_cmpint (credential_verify (restarted, &submit, fixture->header,
                                      moment + 1, &fixture->who),
                   ==, CREDENTIAL_STALE);
  credential_verifier_free (restarted);
}

/* A nonce expires, then the VM's clock is set back: the recorded request must
   not become valid again.  */
static void
test_a_clock_set_back_opens_no_replay (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  char recorded[CREDENTIAL_HEADER_BYTES];
  memcpy (recorded, fixture->header, sizeof recorded);
  credential_verify (fixture->verifier, &submit, recorded, moment,
                     &fixture->who);
  const usec_t later = moment + 2 * CREDENTIAL_WINDOW + 1;
  fixture->nonce[0] = 1;
  credential_sign (fixture->hana, &submit, later, fixture->nonce,
                   fixture->header);
  g_assert_cmpint (credential_verify (fixture->verifier, &submit,
                                      fixture->header, later, &fixture->who),
                   ==, CREDENTIAL_GOOD);
  g_assert_cmpint (credential_verify (fixture->verifier, &submit, recorded,
                                      moment, &fixture->who),
                   ==, CREDENTIAL_STALE);
}

static void
test_garbage_is_refused (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  g_assert_cmpint (credential_verify (fixture->verifier, &submit, NULL, moment,
                                      &fixture->who),
                   ==, CREDENTIAL_MISSING);
  random_state_t random;
  random_seed (&random, 5);
  size_t length = strlen (fixture->header);
  for (int i = 0; i < 20000; i++)
    {
      char header[CREDENTIAL_HEADER_BYTES];
      memcpy (header, fixture->header, sizeof header);
      size_t at = random_below (&random, length);
      header[at] = (char)(header[at] + 1 + random_below (&random, 255));
      if (random_below (&random, 4) == 0)
        header[random_below (&random, length)] = '\0';
      credential_verdict_t verdict = credential_verify (
          fixture->verifier, &submit, header, moment, &fixture->who);
      g_assert_cmpint (verdict, !=, CREDENTIAL_GOOD);
      g_assert_null (fixture->who);
    }
}

/* Fifteen minutes of distinct requests: none is refused as a replay, each is
   refused when resent within its window, and nonces expire fast enough that
   the table never fills at this rate.  */
static void
test_nonces_are_forgotten_in_time (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  enum
  {
    REQUESTS = 60000,
  };
  const usec_t step = 2 * CREDENTIAL_WINDOW / (CREDENTIAL_NONCES_MAX / 2);
  random_state_t random;
  random_seed (&random, 9);
  for (int i = 0; i < REQUESTS; i++)
    {
      usec_t now = moment + i * step;
      uint64_t words[2] = { random_next (&random), (uint64_t)i };
      memcpy (fixture->nonce, words, sizeof words);
      credential_sign (fixture->hana, &submit, now, fixture->nonce,
                       fixture->header);
      g_assert_cmpint (credential_verify (fixture->verifier, &submit,
                                          fixture->header, now, &fixture->who),
                       ==, CREDENTIAL_GOOD);
      g_assert_cmpint (
          credential_verify (fixture->verifier, &submit, fixture->header,
                             now + CREDENTIAL_WINDOW, &fixture->who),
          ==, CREDENTIAL_REPLAY);
    }
}

static void
test_a_full_memory_refuses (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  for (uint32_t i = 0; i <= CREDENTIAL_NONCES_MAX; i++)
    {
      memcpy (fixture->nonce, &i, sizeof i);
      credential_sign (fixture->hana, &submit, moment, fixture->nonce,
                       fixture->header);
      g_assert_cmpint (
          credential_verify (fixture->verifier, &submit, fixture->header,
                             moment, &fixture->who),
          ==, i < CREDENTIAL_NONCES_MAX ? CREDENTIAL_GOOD : CREDENTIAL_BUSY);
    }
}

static void
test_answers_are_bound_to_their_request (fixture_t *fixture,
                                         gconstpointer data)
{
  (void)data;
  char signature[CREDENTIAL_ANSWER_BYTES];
  const credential_t *hana = fixture->hana;
  credential_sign_answer (hana, fixture->header, 200, "ok", 2, signature);
  g_assert_true (credential_check_answer (hana, fixture->header, 200, "ok", 2,
                                          signature));
  g_assert_false (credential_check_answer (hana, fixture->header, 409, "ok", 2,
                                           signature));
  g_assert_false (credential_check_answer (hana, fixture->header, 200, "no", 2,
                                           signature));
  g_assert_false (
      credential_check_answer (hana, "other", 200, "ok", 2, signature));
  g_assert_false (
      credential_check_answer (hana, fixture->header, 200, "ok", 2, ""));
}

static void
test_key_files (void)
{
  credentials_t credentials;
  err_t err = { 0 };
  static const int open_modes[] = { 0640, 0604, 0660, 0610 };
  for (size_t i = 0; i < G_N_ELEMENTS (open_modes); i++)
    {
      g_assert_false (
          load_text (&credentials, "hana " KEY_A "\n", open_modes[i], &err));
      g_assert_cmpint (err.kind, ==, ERR_AUTH);
      g_assert_nonnull (strstr (err.remedy, "chmod 600"));
    }
  static const char *const texts[] = {
    "",
    "hana\n",
    "hana 00ff\n",
    "hana " KEY_A "0\n",
    "hana " KEY_A " more\n",
    "ha/na " KEY_A "\n",
    "hana " KEY_A "\nhana " KEY_B "\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_assert_false (load_text (&credentials, texts[i], 0600, &err));
      g_assert_null (strstr (err.message, KEY_A));
    }
  g_assert_false (credentials_load (&credentials, "/nonexistent/keys", &err));
  g_assert_cmpint (err.kind, ==, ERR_IO);
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
  add ("/wire/credential/replay", test_signed_once_is_good_then_a_replay);
  add ("/wire/credential/change", test_any_change_is_refused);
  add ("/wire/credential/time", test_time_is_bounded);
  add ("/wire/credential/set_back", test_a_clock_set_back_opens_no_replay);
  add ("/wire/credential/garbage", test_garbage_is_refused);
  add ("/wire/credential/forget", test_nonces_are_forgotten_in_time);
  add ("/wire/credential/full", test_a_full_memory_refuses);
  add ("/wire/credential/answer", test_answers_are_bound_to_their_request);
  g_test_add_func ("/wire/credential/file", test_key_files);
  return g_test_run ();
}
