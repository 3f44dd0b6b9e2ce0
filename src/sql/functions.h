// Classifies SQL functions: those that a read may call, and those that take advisory locks.
#ifndef TOUCAN_SQL_FUNCTIONS_H
#define TOUCAN_SQL_FUNCTIONS_H

#include <string_view>

namespace toucan::sql {

// True for built-in functions that neither write nor lock. A built-in function is called without a
// schema or with schema pg_catalog. Schema and Name must be lower case.
bool isReadOnlyFunction(std::string_view Schema, std::string_view Name);

// True for functions that take or release a session-level advisory lock.
bool isSessionLockFunction(std::string_view Name);

// True for functions that take an advisory lock until the end of the transaction.
bool isTransactionLockFunction(std::string_view Name);

} // namespace toucan::sql

#endif // TOUCAN_SQL_FUNCTIONS_H
