// Public header of the placement library. It decides, without I/O, where a statement runs, how long
// it waits, when it is rejected, and how many connections an instance opens.
#ifndef TOUCAN_PLACEMENT_PLACEMENT_H
#define TOUCAN_PLACEMENT_PLACEMENT_H

#include "placement/account_links.h"
#include "placement/choose.h"
#include "placement/commits.h"
#include "placement/connections.h"
#include "placement/fair.h"
#include "placement/freshness.h"
#include "placement/lead.h"
#include "placement/queue.h"
#include "placement/samplers.h"
#include "placement/spill.h"

#endif // TOUCAN_PLACEMENT_PLACEMENT_H
