// Public header of the base library: ids, time, errors, verdicts, counters, logs, settings, loop.
#ifndef TOUCAN_BASE_BASE_H
#define TOUCAN_BASE_BASE_H

#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "base/policy.h"
#include "base/settings.h"
#include "base/verdict.h"

#endif // TOUCAN_BASE_BASE_H
