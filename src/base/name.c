#include "base/name.h"

#include <string.h>

static bool
name_char_ok (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool
name_parse (name_t *name, const char *text, err_t *err)
{
  static const char remedy[] = "use 1 to 47 letters, digits, '-', '_' or '.'";
  size_t length = strlen (text);
  if (length == 0 || length >= sizeof name->text)
    return err_set (err, ERR_USAGE, remedy, "name has %zu bytes, not 1 to 47",
                    length);
  for (size_t i = 0; i < length; i++)
    if (!name_char_ok (text[i]))
      return err_set (err, ERR_USAGE, remedy,
                      "name has the illegal byte 0x%02x at position %zu",
                      (unsigned char)text[i], i + 1);
  memset (name, 0, sizeof *name);
  memcpy (name->text, text, length);
  return true;
}

bool
name_equal (const name_t *a, const name_t *b)
{
  return strcmp (a->text, b->text) == 0;
}

size_t
name_find (const name_t *names, size_t n, const char *text)
{
  size_t i = 0;
  while (i < n && strcmp (names[i].text, text) != 0)
    i++;
  return i;
}

int
name_compare (const name_t *a, const name_t *b)
{
  return strcmp (a->text, b->text);
}
