// Classifies one statement from its JSON parse tree, as written by libpg_query.
#ifndef TOUCAN_SQL_TREE_H
#define TOUCAN_SQL_TREE_H

#include "sql/sql.h"

#include <nlohmann/json_fwd.hpp>

namespace toucan::sql {

// Node is the value of the "stmt" member: an object whose only key is the statement type.
Statement classifyTree(const nlohmann::json &Node);

} // namespace toucan::sql

#endif // TOUCAN_SQL_TREE_H
