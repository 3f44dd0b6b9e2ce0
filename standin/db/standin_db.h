// Public header of the database server for tests.
#ifndef TOUCAN_STANDIN_DB_H
#define TOUCAN_STANDIN_DB_H

#include "group.h"
#include "log.h"
#include "server.h"

#endif // TOUCAN_STANDIN_DB_H
