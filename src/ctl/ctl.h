// Public header of toucanctl: the operators' tool.
#ifndef TOUCAN_CTL_CTL_H
#define TOUCAN_CTL_CTL_H

#include <ostream>
#include <string>
#include <vector>

namespace toucan::ctl {

// Exit codes, as described in --help.
constexpr int ExitDone = 0;
constexpr int ExitRefused = 1;     // refused, or not confirmed by all instances
constexpr int ExitUsage = 2;       // command line, setting, file or instance name
constexpr int ExitUnreachable = 3; // platform or instance

// Runs one command line without the program name and returns the exit code.
int run(const std::vector<std::string> &Args, std::ostream &Out, std::ostream &Err);

} // namespace toucan::ctl

#endif // TOUCAN_CTL_CTL_H
