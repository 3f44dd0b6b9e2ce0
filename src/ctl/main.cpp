// toucanctl: see ctl/ctl.h.
#include "ctl/ctl.h"

#include <iostream>

int main(int Argc, char **Argv) {
  return toucan::ctl::run({Argv + 1, Argv + Argc}, std::cout, std::cerr);
}
