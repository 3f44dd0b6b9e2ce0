// Public header of the catalog library: the current routes from the operator's configuration, and
// the targets from their own registrations.
#ifndef TOUCAN_CATALOG_CATALOG_H
#define TOUCAN_CATALOG_CATALOG_H

#include "catalog/routes.h"
#include "catalog/targets.h"

#endif // TOUCAN_CATALOG_CATALOG_H
