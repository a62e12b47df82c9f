#include "wire/credential.h"

#include <inttypes.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/name.h"
#include "wire/credential_header.h"

enum
{
  KEY_LINE_BYTES = 256,
  SIGNED_TEXT_BYTES = 4096,
};

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

bool
credential_hex_read (const char *text, unsigned char *bytes, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      int high = hex_digit (text[2 * i]);
      int low = high < 0 ? -1 : hex_digit (text[2 * i + 1]);
      if (low < 0)
        return false;
      bytes[i] = (unsigned char)(high << 4 | low);
    }
  return text[2 * n] == '\0';
}

static void
hex_write (const unsigned char *bytes, size_t n, char *text)
{
  for (size_t i = 0; i < n; i++)
    snprintf (text + 2 * i, 3, "%02x", bytes[i]);
}

static bool
check_permissions (FILE *file, const char *path, err_t *err)
{
  struct stat info;
  if (fstat (fileno (file), &info) != 0 || !S_ISREG (info.st_mode))
    return err_set (err, ERR_AUTH, "name a regular file",
                    "key file %s is not a regular file", path);
  if (info.st_uid != geteuid ())
    return err_set (err, ERR_AUTH,
                    "chown the file to the user that runs this process",
                    "key file %s belongs to another user", path);
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    return err_set (err, ERR_AUTH, "chmod 600 the file, and replace its keys",
                    "key file %s is accessible to other users (mode %03o)",
                    path, info.st_mode & 0777);
  return true;
}

/* Parse LINE, which is modified.  */
static bool
read_entry (credential_t *entry, char *line, err_t *err)
{
  static const char remedy[] = "write NAME and 64 hexadecimal digits";
  char *rest;
  const char *name = strtok_r (line, " \t", &rest);
  const char *key = strtok_r (NULL, " \t", &rest);
  if (!key || strtok_r (NULL, " \t", &rest))
    return err_set (err, ERR_AUTH, remedy, "the line is not two words");
  if (!name_parse (&entry->operator_name, name, err))
    return false;
  if (!credential_hex_read (key, entry->key, sizeof entry->key))
    return err_set (err, ERR_AUTH, remedy,
                    "the key is not 64 hexadecimal digits");
  return true;
}

static bool
add_entry (credentials_t *credentials, const credential_t *entry, err_t *err)
{
  if (credentials_find (credentials, entry->operator_name.text))
    return err_set (err, ERR_AUTH, "keep one line per operator",
                    "operator %s is listed twice", entry->operator_name.text);
  if (credentials->n_entries == CREDENTIAL_OPERATORS_MAX)
    return err_set (err, ERR_LIMIT, "list fewer operators",
                    "the key file lists more than %d operators",
                    CREDENTIAL_OPERATORS_MAX);
  credentials->entries[credentials->n_entries++] = *entry;
  return true;
}

static bool
read_entries (credentials_t *credentials, FILE *file, const char *path,
              err_t *err)
{
  char line[KEY_LINE_BYTES];
  credential_t entry;
  bool ok = true;
  for (int line_number = 1; ok && fgets (line, sizeof line, file);
       line_number++)
    {
      line[strcspn (line, "\r\n")] = '\0';
      if (line[0] == '\0' || line[0] == '#')
        continue;
      ok = read_entry (&entry, line, err)
           && add_entry (credentials, &entry, err);
      if (!ok)
        err_prefix (err, "%s line %d", path, line_number);
    }
  OPENSSL_cleanse (line, sizeof line);
  OPENSSL_cleanse (&entry, sizeof entry);
  if (ok && credentials->n_entries == 0)
    return err_set (err, ERR_AUTH, "add a line NAME KEY",
                    "key file %s lists no operator", path);
  return ok;
}

bool
credentials_load (credentials_t *credentials, const char *path, err_t *err)
{
  memset (credentials, 0, sizeof *credentials);
  FILE *file = fopen (path, "re");
  if (!file)
    return err_set (err, ERR_IO, "check the path and its permissions",
                    "can't read key file %s: %m", path);
  credentials->entries
      = calloc (CREDENTIAL_OPERATORS_MAX, sizeof *credentials->entries);
  if (!credentials->entries)
    {
      fclose (file);
      return err_set (err, ERR_LIMIT, "give the VM more memory",
                      "out of memory");
    }
  bool ok = check_permissions (file, path, err)
            && read_entries (credentials, file, path, err);
  fclose (file);
  if (!ok)
    credentials_free (credentials);
  return ok;
}

void
credentials_free (credentials_t *credentials)
{
  if (credentials->entries)
    OPENSSL_cleanse (credentials->entries,
                     credentials->n_entries * sizeof (credential_t));
  free (credentials->entries);
  memset (credentials, 0, sizeof *credentials);
}

const credential_t *
credentials_find (const credentials_t *credentials, const char *operator_name)
{
  for (size_t i = 0; i < credentials->n_entries; i++)
    {
      const credential_t *entry = &credentials->entries[i];
      if (strcmp (entry->operator_name.text, operator_name) == 0)
        return entry;
    }
  return NULL;
}

static void
compute_mac (const credential_t *credential, const char *text, size_t length,
             unsigned char mac[CREDENTIAL_MAC_BYTES])
{
  HMAC (EVP_sha256 (), credential->key, sizeof credential->key,
        (const unsigned char *)text, length, mac, NULL);
}

static void
body_digest (const void *body, size_t body_bytes, char *text)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256 (body_bytes > 0 ? body : "", body_bytes, digest);
  hex_write (digest, sizeof digest, text);
}

bool
credential_mac (const credential_t *credential,
                const credential_request_t *request,
                const credential_header_t *header,
                unsigned char mac[CREDENTIAL_MAC_BYTES])
{
  char digest[2 * SHA256_DIGEST_LENGTH + 1];
  char nonce[2 * CREDENTIAL_NONCE_BYTES + 1];
  char signed_text[SIGNED_TEXT_BYTES];
  body_digest (request->body, request->body_bytes, digest);
  hex_write (header->nonce, sizeof header->nonce, nonce);
  int n = snprintf (signed_text, sizeof signed_text,
                    "request\n%s\n%s\n%s\n%s\n%" PRId64 "\n%s\n%s\n",
                    request->method, request->target, request->vm,
                    header->operator_name.text, header->time, nonce, digest);
  if (n < 0 || (size_t)n >= sizeof signed_text)
    return false;
  compute_mac (credential, signed_text, (size_t)n, mac);
  return true;
}

void
credential_sign (const credential_t *credential,
                 const credential_request_t *request, usec_t now,
                 const unsigned char nonce[CREDENTIAL_NONCE_BYTES],
                 char header[CREDENTIAL_HEADER_BYTES])
{
  credential_header_t fields
      = { .operator_name = credential->operator_name, .time = now };
  memcpy (fields.nonce, nonce, sizeof fields.nonce);
  /* If the target is too long, the signature stays zero and the VM refuses the
     request.  */
  credential_mac (credential, request, &fields, fields.mac);
  char nonce_text[2 * CREDENTIAL_NONCE_BYTES + 1];
  char mac[2 * CREDENTIAL_MAC_BYTES + 1];
  hex_write (fields.nonce, sizeof fields.nonce, nonce_text);
  hex_write (fields.mac, sizeof fields.mac, mac);
  snprintf (header, CREDENTIAL_HEADER_BYTES,
            CREDENTIAL_SCHEME " operator=%s,time=%" PRId64
                              ",nonce=%s,signature=%s",
            fields.operator_name.text, fields.time, nonce_text, mac);
}

void
credential_sign_answer (const credential_t *credential, const char *header,
                        unsigned status, const void *body, size_t body_bytes,
                        char signature[CREDENTIAL_ANSWER_BYTES])
{
  char digest[2 * SHA256_DIGEST_LENGTH + 1];
  char signed_text[SIGNED_TEXT_BYTES];
  unsigned char mac[CREDENTIAL_MAC_BYTES];
  body_digest (body, body_bytes, digest);
  int n = snprintf (signed_text, sizeof signed_text, "answer\n%.*s\n%u\n%s\n",
                    CREDENTIAL_HEADER_BYTES, header, status, digest);
  compute_mac (credential, signed_text, (size_t)n, mac);
  hex_write (mac, sizeof mac, signature);
}

bool
credential_check_answer (const credential_t *credential, const char *header,
                         unsigned status, const void *body, size_t body_bytes,
                         const char *signature)
{
  char expected[CREDENTIAL_ANSWER_BYTES];
  credential_sign_answer (credential, header, status, body, body_bytes,
                          expected);
  return strlen (signature) == sizeof expected - 1
         && CRYPTO_memcmp (signature, expected, sizeof expected - 1) == 0;
}
