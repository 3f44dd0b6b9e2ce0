// Classification of one statement from the JSON tree of libpg_query.
#ifndef TOUCAN_SQL_TREE_H
#define TOUCAN_SQL_TREE_H

#include "sql/sql.h"

#include <nlohmann/json_fwd.hpp>

namespace toucan::sql {

// Node is the "stmt" member: an object whose only key is the statement type.
Statement classifyTree(const nlohmann::json &Node);

} // namespace toucan::sql

#endif // TOUCAN_SQL_TREE_H
