// Public header of the promotion library. It detects that a service needs another primary, lets
// one instance at a time claim the change, and runs the change without losing a commit of which a
// caller was told.
//
// The proof counts the members of the group that the claim's row names, listed or not, see
// roster/roster.h. Each listed replica is paused and its position read, and fewer members than hold
// each commit may be unknown. The promoted server has received what each of the paused ones has,
// and becomes a member with the record of its order. Processes that start between the reading of
// the list and the effect of the order are not paused and not counted. The primary may acknowledge
// commits that only they confirm; instances tell no caller of those, see placement/commits.h.
#ifndef TOUCAN_PROMOTION_PROMOTION_H
#define TOUCAN_PROMOTION_PROMOTION_H

#include "promotion/change.h"
#include "promotion/claim.h"
#include "promotion/detector.h"

#endif // TOUCAN_PROMOTION_PROMOTION_H
