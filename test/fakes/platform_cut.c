#include "platform_cut.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  CUTS_MAX = 64,
  IP_SOURCE_OFFSET = 12,
  WAIT_STEP_USEC = 20 * 1000,
  WAIT_STEPS_MAX = 2000,
};

typedef struct cut_entry
{
  uint32_t address; /* host order */
  cut_t cut;
} cut_entry_t;

static cut_t
parse_cut (const char *name)
{
  if (strcmp (name, "hang") == 0)
    return CUT_HANG;
  if (strcmp (name, "reset") == 0)
    return CUT_RESET;
  return strcmp (name, "live") == 0 ? CUT_LIVE : CUT_NONE;
}

static size_t
read_cuts (const char *folder, cut_entry_t cuts[CUTS_MAX])
{
  char path[512];
  char address[32];
  char name[16];
  size_t n = 0;
  snprintf (path, sizeof path, "%s/cut", folder);
  FILE *file = fopen (path, "r");
  if (!file)
    return 0;
  while (n < CUTS_MAX && fscanf (file, "%31s %15s", address, name) == 2)
    cuts[n++] = (cut_entry_t){ .address = ntohl (inet_addr (address)),
                               .cut = parse_cut (name) };
  fclose (file);
  return n;
}

cut_t
cut_of (const char *folder, const struct sockaddr *address)
{
  cut_entry_t cuts[CUTS_MAX];
  size_t n = read_cuts (folder, cuts);
  struct sockaddr_in from;
  memcpy (&from, address, sizeof from);
  for (size_t i = 0; i < n; i++)
    if (cuts[i].address == ntohl (from.sin_addr.s_addr))
      return cuts[i].cut;
  return CUT_NONE;
}

/* Appends "drop what comes from ADDRESS" to CODE; returns its new length.  */
static unsigned short
add_rule (struct sock_filter *code, unsigned short n, uint32_t address)
{
  code[n++] = (struct sock_filter)BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K, address,
                                            0, 1);
  code[n++] = (struct sock_filter)BPF_STMT (BPF_RET | BPF_K, 0);
  return n;
}

void
cut_filter (const char *folder, int fd)
{
  cut_entry_t cuts[CUTS_MAX];
  struct sock_filter code[2 * CUTS_MAX + 2];
  size_t n_cuts = read_cuts (folder, cuts);
  unsigned short n = 0;
  code[n++] = (struct sock_filter)BPF_STMT (
      BPF_LD | BPF_W | BPF_ABS, (uint32_t)(SKF_NET_OFF + IP_SOURCE_OFFSET));
  for (size_t i = 0; i < n_cuts; i++)
    if (cuts[i].cut == CUT_HANG || cuts[i].cut == CUT_LIVE)
      n = add_rule (code, n, cuts[i].address);
  code[n++] = (struct sock_filter)BPF_STMT (BPF_RET | BPF_K, UINT32_MAX);
  const struct sock_fprog program = { .len = n, .filter = code };
  if (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
      != 0)
    perror ("fake-platform: SO_ATTACH_FILTER");
}

void
cut_wait (const char *folder, const struct sockaddr *address)
{
  for (int i = 0; i < WAIT_STEPS_MAX && cut_of (folder, address) == CUT_HANG;
       i++)
    usleep (WAIT_STEP_USEC);
}
