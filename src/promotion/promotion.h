// Public header of the promotion library. It detects that a service needs another primary, lets
// one instance at a time claim the change, and runs the change without losing an acknowledged
// commit.
#ifndef TOUCAN_PROMOTION_PROMOTION_H
#define TOUCAN_PROMOTION_PROMOTION_H

#include "promotion/change.h"
#include "promotion/claim.h"
#include "promotion/detector.h"

#endif // TOUCAN_PROMOTION_PROMOTION_H
