#include "catalog/routes.h"

#include <utility>

namespace toucan::catalog {

const Route *Configuration::route(const DatabaseName &Name) const {
  auto It = this->Routes.find(Name);
  return It == this->Routes.end() ? nullptr : &It->second;
}

bool RouteTable::apply(Configuration New) {
  if (this->Current && New.Version <= this->Current->Version)
    return false;
  this->Current = std::make_shared<const Configuration>(std::move(New));
  return true;
}

} // namespace toucan::catalog
