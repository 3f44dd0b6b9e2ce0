// toucanctl: see ctl/ctl.h.
#include "ctl/ctl.h"

#include <iostream>

int main(int Count, char **Values) {
  return toucan::ctl::run({Values + 1, Values + Count}, std::cout, std::cerr);
}
