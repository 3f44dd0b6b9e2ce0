// Functions that a read may call, and functions that hold state of a session.
#ifndef TOUCAN_SQL_FUNCTIONS_H
#define TOUCAN_SQL_FUNCTIONS_H

#include <string_view>

namespace toucan::sql {

// True for built-in functions that neither write nor lock. The schema is empty or pg_catalog for a
// built-in function; both names are lower case.
bool isReadOnlyFunction(std::string_view Schema, std::string_view Name);

// True for advisory lock functions whose lock belongs to the session.
bool isSessionLockFunction(std::string_view Name);

// True for advisory lock functions whose lock ends with the transaction.
bool isTransactionLockFunction(std::string_view Name);

} // namespace toucan::sql

#endif // TOUCAN_SQL_FUNCTIONS_H
