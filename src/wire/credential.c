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
  MATERIAL_BYTES = 4096,
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
check_mode (FILE *file, const char *path, err_t *err)
{
  struct stat info;
  if (fstat (fileno (file), &info) != 0 || !S_ISREG (info.st_mode))
    return err_set (err, ERR_AUTH, "give a plain file",
                    "%s is not a plain file", path);
  if (info.st_uid != geteuid ())
    return err_set (err, ERR_AUTH, "chown it to the user that runs this",
                    "key file %s belongs to another user", path);
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    return err_set (err, ERR_AUTH, "chmod 600 it, and change its keys",
                    "key file %s may be read by others (mode %03o)", path,
                    info.st_mode & 0777);
  return true;
}

/* Take one line apart; LINE is changed.  */
static bool
read_entry (credential_t *entry, char *line, err_t *err)
{
  static const char remedy[] = "write NAME and 64 hexadecimal digits";
  char *rest;
  const char *name = strtok_r (line, " \t", &rest);
  const char *key = strtok_r (NULL, " \t", &rest);
  if (!key || strtok_r (NULL, " \t", &rest))
    return err_set (err, ERR_AUTH, remedy, "not two words");
  if (!name_parse (&entry->operator_name, name, err))
    return false;
  if (!credential_hex_read (key, entry->key, sizeof entry->key))
    return err_set (err, ERR_AUTH, remedy, "not a key");
  return true;
}

static bool
add_entry (credentials_t *credentials, const credential_t *entry, err_t *err)
{
  if (credentials_find (credentials, entry->operator_name.text))
    return err_set (err, ERR_AUTH, "keep one line an operator",
                    "operator %s stands twice", entry->operator_name.text);
  if (credentials->n_entries == CREDENTIAL_OPERATORS_MAX)
    return err_set (err, ERR_LIMIT, "use fewer operators",
                    "more than %d operators", CREDENTIAL_OPERATORS_MAX);
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
  for (int number = 1; ok && fgets (line, sizeof line, file); number++)
    {
      line[strcspn (line, "\r\n")] = '\0';
      if (line[0] == '\0' || line[0] == '#')
        continue;
      ok = read_entry (&entry, line, err)
           && add_entry (credentials, &entry, err);
      if (!ok)
        err_prefix (err, "%s line %d", path, number);
    }
  OPENSSL_cleanse (line, sizeof line);
  OPENSSL_cleanse (&entry, sizeof entry);
  if (ok && credentials->n_entries == 0)
    return err_set (err, ERR_AUTH, "add a line NAME KEY", "%s has no key",
                    path);
  return ok;
}

bool
credentials_load (credentials_t *credentials, const char *path, err_t *err)
{
  memset (credentials, 0, sizeof *credentials);
  FILE *file = fopen (path, "re");
  if (!file)
    return err_set (err, ERR_IO, "check the path and its rights",
                    "can't read key file %s: %m", path);
  credentials->entries
      = calloc (CREDENTIAL_OPERATORS_MAX, sizeof *credentials->entries);
  if (!credentials->entries)
    {
      fclose (file);
      return err_set (err, ERR_LIMIT, "give the VM more memory",
                      "out of memory");
    }
  bool ok = check_mode (file, path, err)
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
mac_text (const credential_t *credential, const char *text, size_t length,
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
  char material[MATERIAL_BYTES];
  body_digest (request->body, request->body_bytes, digest);
  hex_write (header->nonce, sizeof header->nonce, nonce);
  int n = snprintf (material, sizeof material,
                    "request\n%s\n%s\n%s\n%s\n%" PRId64 "\n%s\n%s\n",
                    request->method, request->target, request->vm,
                    header->operator_name.text, header->time, nonce, digest);
  if (n < 0 || (size_t)n >= sizeof material)
    return false;
  mac_text (credential, material, (size_t)n, mac);
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
  /* Too long a target leaves a zero signature, which is refused.  */
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
  char material[MATERIAL_BYTES];
  unsigned char mac[CREDENTIAL_MAC_BYTES];
  body_digest (body, body_bytes, digest);
  int n = snprintf (material, sizeof material, "answer\n%.*s\n%u\n%s\n",
                    CREDENTIAL_HEADER_BYTES, header, status, digest);
  mac_text (credential, material, (size_t)n, mac);
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
