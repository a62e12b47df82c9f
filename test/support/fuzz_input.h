/* fuzz_input: a schedule read byte by byte, and the oracle's verdict.  */

#ifndef TEST_SUPPORT_FUZZ_INPUT_H
#define TEST_SUPPORT_FUZZ_INPUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct fuzz_input
{
  const uint8_t *data;
  size_t size;
} fuzz_input_t;

/* Zeros after the end.  */
static inline uint8_t
fuzz_next_byte (fuzz_input_t *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

static inline void
require (bool holds, const char *what)
{
  if (holds)
    return;
  fprintf (stderr, "violated: %s\n", what);
  abort ();
}

#endif
