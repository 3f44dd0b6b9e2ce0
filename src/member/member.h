// Public header of the member library: view, membership, rules in force, sending.
#ifndef TOUCAN_MEMBER_MEMBER_H
#define TOUCAN_MEMBER_MEMBER_H

#include "member/membership.h"
#include "member/rules_state.h"
#include "member/send.h"
#include "member/view.h"
#include "member/view_builder.h"

#endif // TOUCAN_MEMBER_MEMBER_H
