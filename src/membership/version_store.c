#include "membership/version_store.h"

#include <stdlib.h>

typedef struct stored_version
{
  uint64_t version;
  text_t text;
} stored_version_t;

struct version_store
{
  stored_version_t history[VERSION_HISTORY]; /* newest first */
};

void
version_answer_clear (version_answer_t *answer)
{
  text_clear (&answer->text);
}

version_store_t *
version_store_new (void)
{
  version_store_t *store = calloc (1, sizeof *store);
  if (!store)
    abort ();
  return store;
}

void
version_store_free (version_store_t *store)
{
  for (int i = 0; i < VERSION_HISTORY; i++)
    text_clear (&store->history[i].text);
  free (store);
}

uint64_t
version_store_version (const version_store_t *store)
{
  return store->history[0].version;
}

const text_t *
version_store_text (const version_store_t *store)
{
  return store->history[0].version > 0 ? &store->history[0].text : NULL;
}

bool
version_store_put (version_store_t *store, uint64_t version, text_t *text)
{
  if (version <= store->history[0].version)
    {
      text_clear (text);
      return false;
    }
  text_clear (&store->history[VERSION_HISTORY - 1].text);
  for (int i = VERSION_HISTORY - 1; i > 0; i--)
    store->history[i] = store->history[i - 1];
  store->history[0] = (stored_version_t){ .version = version, .text = *text };
  *text = (text_t){ 0 };
  return true;
}

static const stored_version_t *
find_stored (const version_store_t *store, uint64_t version)
{
  for (int i = 0; i < VERSION_HISTORY; i++)
    if (version > 0 && store->history[i].version == version)
      return &store->history[i];
  return NULL;
}

version_answer_t
version_store_answer (const version_store_t *store, uint64_t version,
                      usec_t freshness)
{
  const stored_version_t *newest = &store->history[0];
  version_answer_t answer = { .kind = VERSION_NOT_NEWER,
                              .version = newest->version,
                              .freshness = freshness };
  if (newest->version <= version)
    return answer;
  answer.checksum = text_checksum (&newest->text);
  const stored_version_t *base = find_stored (store, version);
  if (base)
    {
      answer.kind = VERSION_DELTA;
      answer.base_version = version;
      answer.text = delta_make (&base->text, &newest->text);
      if (answer.text.length < newest->text.length)
        return answer;
      text_clear (&answer.text);
    }
  answer.kind = VERSION_FULL;
  answer.base_version = 0;
  answer.text = text_copy (newest->text.bytes, newest->text.length);
  return answer;
}

/* The full text of ANSWER's version.  Returns false if the delta does not
   apply or the checksum differs.  */
static bool
reconstruct_text (const version_store_t *store, const version_answer_t *answer,
                  text_t *text)
{
  if (answer->kind == VERSION_FULL)
    *text = text_copy (answer->text.bytes, answer->text.length);
  else
    {
      const stored_version_t *base = find_stored (store, answer->base_version);
      if (!base
          || !delta_apply (&base->text, &answer->text, VERSION_TEXT_BYTES_MAX,
                           text))
        return false;
    }
  if (text_checksum (text) == answer->checksum)
    return true;
  text_clear (text);
  return false;
}

version_store_result_t
version_store_apply (version_store_t *store, const version_answer_t *answer)
{
  if (answer->kind == VERSION_NOT_NEWER
      || answer->version <= store->history[0].version)
    return VERSION_IGNORED;
  text_t text = { 0 };
  if (!reconstruct_text (store, answer, &text))
    return VERSION_CORRUPT;
  version_store_put (store, answer->version, &text);
  return VERSION_STORED;
}
