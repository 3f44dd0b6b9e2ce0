// Public header of the member library: the view of members, groups and rules.
#ifndef TOUCAN_MEMBER_MEMBER_H
#define TOUCAN_MEMBER_MEMBER_H

#include "member/send.h"
#include "member/view.h"

#endif // TOUCAN_MEMBER_MEMBER_H
