#include "entry/link_shares.h"

#include <stdlib.h>

#include "admission/escrow.h"
#include "placement/topology.h"

enum
{
  BURST_MSEC = 200, /* of the bandwidth, that may be used at once */
};

typedef struct link_share
{
  escrow_holder_t requests;
  escrow_holder_t answers;
  bool is_limited; /* the settings limit both directions */
} link_share_t;

struct link_shares
{
  region_id_t home;
  size_t n_regions;
  link_share_t *regions;
};

static int64_t
n_vms_of_region (const topology_t *topology, region_id_t region)
{
  int64_t n = 0;
  for (size_t i = 0; i < topology->n_vms; i++)
    n += topology_region_of_vm (topology, (vm_id_t)i) == region;
  return n;
}

static void
init_share (escrow_holder_t *holder, const link_t *link, int64_t n_vms,
            vm_id_t self, usec_t now)
{
  const escrow_holder_options_t options
      = { .kind = BUDGET_RATE,
          .self = self,
          .generation = 1,
          .floor = (int64_t)link->bytes_per_second / (n_vms > 0 ? n_vms : 1),
          .burst = BURST_MSEC * USEC_PER_MSEC };
  escrow_holder_init (holder, &options, now);
}

link_shares_t *
link_shares_new (const topology_t *topology, vm_id_t self, usec_t now)
{
  link_shares_t *shares = calloc (1, sizeof *shares);
  if (!shares)
    abort ();
  shares->home = topology_region_of_vm (topology, self);
  shares->n_regions = topology->n_regions;
  shares->regions = calloc (topology->n_regions, sizeof *shares->regions);
  if (!shares->regions)
    abort ();
  for (size_t i = 0; i < topology->n_regions; i++)
    {
      region_id_t region = (region_id_t)i;
      const link_t *forward = topology_link (topology, shares->home, region);
      const link_t *backward = topology_link (topology, region, shares->home);
      if (!forward || !backward)
        continue;
      int64_t n_vms = n_vms_of_region (topology, shares->home)
                      + n_vms_of_region (topology, region);
      link_share_t *share = &shares->regions[i];
      share->is_limited = true;
      init_share (&share->requests, forward, n_vms, self, now);
      init_share (&share->answers, backward, n_vms, self, now);
    }
  return shares;
}

void
link_shares_free (link_shares_t *shares)
{
  free (shares->regions);
  free (shares);
}

bool
link_shares_charge (link_shares_t *shares, region_id_t region,
                    size_t request_bytes, size_t answer_bytes, usec_t now)
{
  link_share_t *share = &shares->regions[region];
  if (region == shares->home || !share->is_limited)
    return true;
  int64_t request = (int64_t)request_bytes;
  int64_t answer = (int64_t)answer_bytes;
  return escrow_holder_can_charge (&share->answers, answer, 0, now, now)
         && escrow_holder_charge (&share->requests, request, now, now)
         && escrow_holder_charge (&share->answers, answer, now, now);
}
